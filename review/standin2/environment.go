package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// readyTimeout bounds the start of the VMs.
	readyTimeout = 20 * time.Second
	// restartDelay is the time after which a process that has ended is started again.
	restartDelay = 500 * time.Millisecond
	// stopTimeout bounds the end of a VM that was killed.
	stopTimeout = 5 * time.Second
)

// environment is what a case runs in: a temporary folder, the record, and the processes that were started.
type environment struct {
	program string
	folder  string
	began   time.Time

	mu        sync.Mutex
	file      *os.File
	processes []*exec.Cmd
}

func newEnvironment(program, record string) (*environment, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Clean(record))
	if err != nil {
		return nil, err
	}
	return &environment{program: program, folder: folder, began: time.Now(), file: file}, nil
}

// record writes a line with the time since the start to the record, and to the standard output.
func (e *environment) record(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(e.began).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	if _, err := e.file.WriteString(line); err != nil {
		fmt.Fprintln(os.Stderr, "standin2: write the record: "+err.Error())
	}
}

// note writes a line to the record alone.
func (e *environment) note(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = fmt.Fprintf(e.file, "%8.3f s  %s\n", time.Since(e.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends the processes that were started and removes the temporary folder.
func (e *environment) close() {
	for _, p := range e.processes {
		_ = syscall.Kill(-p.Process.Pid, syscall.SIGKILL)
		ended := make(chan struct{})
		go func() {
			_ = p.Wait()
			close(ended)
		}()
		select {
		case <-ended:
		case <-time.After(stopTimeout):
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(e.folder)
	}
	e.file.Close()
}

// bounds are those of the site of a case, by name.
type bounds map[string]any

// machine is what the settings say of a VM's machine.
type machine struct {
	cpuShare         float64
	memoryMB, maxFDs int
}

// vm is one VM, which runs as a process.
type vm struct {
	ip                               string
	front, ready, control, directory string
	process                          *exec.Cmd
	log                              string
	// settings are those of its process.
	settings map[string]any
	machine  machine
}

// startVMs starts VMs that use one address of the store, and waits until all are ready.
func (e *environment) startVMs(n int, store string, m machine, b bounds) ([]*vm, error) {
	return e.startVMsAt(slices.Repeat([]string{store}, n), m, b)
}

// startVMsAt starts VMs, each of which has its own address of the store, and waits until all are ready.
func (e *environment) startVMsAt(stores []string, m machine, b bounds) ([]*vm, error) {
	n := len(stores)
	network, base := 10+os.Getpid()%200, 20000+os.Getpid()%20000
	var vms []*vm
	var seeds []string
	for i := range n {
		ip := fmt.Sprintf("127.%d.7.%d", network, i+1)
		at := func(offset int) string { return net.JoinHostPort(ip, fmt.Sprint(base+offset)) }
		v := &vm{ip: ip, front: at(1), ready: at(4), control: at(9), directory: at(0), log: filepath.Join(e.folder, ip+".log")}
		vms = append(vms, v)
		if len(seeds) < 3 {
			seeds = append(seeds, v.control)
		}
	}
	for i, v := range vms {
		settings := map[string]any{
			"nodeName": fmt.Sprint("front-", i+1), "role": "entry", "machineClass": "front", "serves": []string{"front", "control", "directory"},
			"ip": v.ip, "zone": "a", "region": "r", "zones": map[string]string{"a": "r"},
			"listen":        map[string]string{"front": v.front, "ready": v.ready, "control": v.control, "directory": v.directory},
			"internalPorts": []int{base + 20, base + 35}, "seeds": seeds, "bootstrap": true,
			"limits":    map[string]any{"cpuShare": m.cpuShare, "cores": 1, "memoryMb": m.memoryMB, "maxFds": m.maxFDs, "linkMbps": 1000.0, "diskMb": 0},
			"discovery": "platform", "entryMode": "directory", "heartbeatMs": 1200,
			"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota", "platform"},
			"bounds":    b,
			"platform":  map[string]any{"address": stores[i], "form": "read", "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576},
		}
		v.settings, v.machine = settings, m
		if err := e.startVM(v); err != nil {
			return nil, err
		}
	}
	for _, v := range vms {
		if err := awaitReady(v); err != nil {
			return nil, err
		}
	}
	e.record("%d VMs are ready", n)
	return vms, nil
}

// startVM starts a VM with the descriptors of its machine.
func (e *environment) startVM(v *vm) error {
	raw, err := json.MarshalIndent(v.settings, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(e.folder, v.ip+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	v.process = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %q entry", v.machine.maxFDs, e.program))
	v.process.Env = []string{"FUCHSIASPOKE_CONFIG=" + path, "PATH=" + os.Getenv("PATH")}
	v.process.Stdout, v.process.Stderr = log, log
	v.process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := v.process.Start(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.processes = append(e.processes, v.process)
	return nil
}

// forget removes a process that has ended from those that are ended with the case.
func (e *environment) forget(p *exec.Cmd) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.processes = slices.DeleteFunc(e.processes, func(known *exec.Cmd) bool { return known == p })
}

// restart starts a VM whose process has ended again, as the platform does.
func (e *environment) restart(v *vm) error {
	v.settings["bootstrap"] = false
	time.Sleep(restartDelay)
	return e.startVM(v)
}

// isReady asks a VM whether it is ready, as the platform does.
func isReady(v *vm) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + v.ready + "/v1/ready")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func awaitReady(v *vm) error {
	for began := time.Now(); time.Since(began) < readyTimeout; time.Sleep(50 * time.Millisecond) {
		if isReady(v) {
			return nil
		}
	}
	return fmt.Errorf("VM %s is not ready after %v", v.ip, readyTimeout)
}

// logLines returns the last n lines of a VM's log that contain a text.
func (v *vm) logLines(text string, n int) []string {
	raw, err := os.ReadFile(v.log)
	if err != nil {
		return nil
	}
	var out []string
	lines := bufio.NewScanner(bytes.NewReader(raw))
	lines.Buffer(nil, 4<<20)
	for lines.Scan() {
		if line := lines.Text(); strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out[max(len(out)-n, 0):]
}
