package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of a VM, as the settings name them.
const (
	portDirectory = 8220
	portCallers   = 8221
	portReady     = 8224
	portControl   = 8229
)

// vm is one entry VM, a process of its own.
type vm struct {
	name, ip, zone string
	settingsPath   string
	process        *exec.Cmd
	ended          chan struct{}
	log            *os.File
	// away means that callers don't use the VM, as it was stopped.
	away atomic.Bool
	// touchedAt is when the VM was last stopped, ended or started.
	touchedAt atomic.Int64
}

// sentInTouch reports whether the VM that sent a request, which its id names last, was in touch: for contactMs it was neither stopped nor started.
func (t *trial) sentInTouch(id string, now time.Duration) bool {
	for _, v := range t.vms {
		if strings.HasSuffix(id, v.name) {
			return !v.away.Load() && now-time.Duration(v.touchedAt.Load()) > contactLimit*time.Millisecond
		}
	}
	return false
}

// stop sends SIGTERM, and has the VM started again when it has ended. Callers use it again once it is ready.
func (t *trial) stop(v *vm) error {
	t.logf("%s is stopped", v.name)
	v.away.Store(true)
	v.touchedAt.Store(int64(t.now()))
	if err := v.signal(syscall.SIGTERM); err != nil {
		return err
	}
	go func() {
		t.restartWhenEnded(v)
		for !v.isReady() {
			time.Sleep(50 * time.Millisecond)
		}
		v.away.Store(false)
		t.notef("%s is ready again", v.name)
	}()
	return nil
}

// callers returns the address at which the VM serves callers.
func (v *vm) callers() string { return fmt.Sprintf("%s:%d", v.ip, portCallers) }

// kill ends the process at once.
func (v *vm) kill() {
	if v.process != nil {
		_ = v.process.Process.Kill()
		<-v.ended
	}
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) error { return v.process.Process.Signal(s) }

// isReady reports whether the VM's health check succeeds.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", v.ip, portReady))
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// zones are the availability zones of the VMs and the replicas.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// startVMs starts n VMs at once, and waits until they are ready.
func (t *trial) startVMs(n int) error {
	command, err := t.deployedCommand()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "trial3-")
	if err != nil {
		return err
	}
	t.atEnd(func() { _ = os.RemoveAll(dir) })
	subnet, err := freeSubnet(n)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range n {
		ip := fmt.Sprintf("%s.%d", subnet, i+1)
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", ip, portControl))
		}
		t.vms = append(t.vms, &vm{name: fmt.Sprintf("vm-%d", i+1), ip: ip, zone: zones[i%len(zones)]})
	}
	for i, v := range t.vms {
		seen := view{store: t.store}
		if i < len(t.addresses) {
			seen.addresses = t.addresses[i]
		}
		storeAddress, err := t.serve("127.0.0.1", seen)
		if err != nil {
			return err
		}
		v.settingsPath = filepath.Join(dir, v.name+".json")
		raw, err := json.Marshal(settingsOf(v, seeds, storeAddress))
		if err != nil {
			return err
		}
		if err := os.WriteFile(v.settingsPath, raw, 0o600); err != nil {
			return err
		}
		if v.log, err = os.Create(filepath.Join(dir, v.name+".log")); err != nil {
			return err
		}
		if err := t.start(v, command); err != nil {
			return err
		}
	}
	return t.awaitReady()
}

// start starts the process of a VM.
func (t *trial) start(v *vm, command []string) error {
	v.process = exec.Command(command[0], command[1:]...)
	v.process.Dir = t.root
	v.process.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FUCHSIASPOKE_CONFIG=" + v.settingsPath,
	}
	v.process.Stdout, v.process.Stderr = v.log, v.log
	if err := v.process.Start(); err != nil {
		v.process = nil
		return err
	}
	v.ended = make(chan struct{})
	go func() {
		_ = v.process.Wait()
		close(v.ended)
	}()
	v.touchedAt.Store(int64(t.now()))
	t.notef("%s started: process %d, callers at %s", v.name, v.process.Process.Pid, v.callers())
	return nil
}

// restartWhenEnded starts a process of a VM anew as soon as the one that was stopped has ended, as the platform does. It is not the fleet's first
// start any more.
func (t *trial) restartWhenEnded(v *vm) {
	<-v.ended
	t.notef("%s has ended", v.name)
	time.Sleep(restartDelay)
	raw, err := os.ReadFile(v.settingsPath)
	if err == nil {
		err = os.WriteFile(v.settingsPath, bytes.Replace(raw, []byte(`"bootstrap":true`), []byte(`"bootstrap":false`), 1), 0o600)
	}
	if err != nil {
		t.logf("%s is not started again: %v", v.name, err)
		return
	}
	command, err := t.deployedCommand()
	if err == nil {
		err = t.start(v, command)
	}
	if err != nil {
		t.logf("%s is not started again: %v", v.name, err)
	}
}

// restartDelay is how long after its end a process is started again.
const restartDelay = 500 * time.Millisecond

// awaitReady waits until all VMs are ready and the owners of the engines are settled.
func (t *trial) awaitReady() error {
	for _, v := range t.vms {
		for began := time.Now(); !v.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Since(began) > 15*time.Second {
				return fmt.Errorf("%s is not ready after 15 s", v.name)
			}
		}
	}
	// The platform's traffic starts 10 s after the machines.
	time.Sleep(6 * time.Second)
	t.logf("%d VMs are ready", len(t.vms))
	return nil
}

// deployedCommand returns the command of the deploy file's one role, split at spaces.
func (t *trial) deployedCommand() ([]string, error) {
	raw, err := os.ReadFile(filepath.Join(t.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(raw)
	if match == nil {
		return nil, errors.New("deploy/system.toml has no run line")
	}
	command := strings.Fields(string(match[1]))
	if command[0], err = filepath.Abs(filepath.Join(t.root, command[0])); err != nil {
		return nil, err
	}
	return command, nil
}

// freeSubnet returns the first three parts of loopback addresses whose ports are free on n addresses.
func freeSubnet(n int) (string, error) {
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(255))
		if isFree(subnet, n) {
			return subnet, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func isFree(subnet string, n int) bool {
	for i := range n {
		for _, port := range []int{portDirectory, portCallers, portReady, portControl, 7602} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, i+1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// settingsOf returns the settings of a VM: those of DEPLOY.md with the figures of a small deployment.
func settingsOf(v *vm, seeds []string, storeAddress string) map[string]any {
	at := func(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }
	regions := map[string]string{}
	for _, zone := range zones {
		regions[zone] = "region-1"
	}
	return map[string]any{
		"nodeName": v.name, "role": "entry", "machineClass": "front", "serves": []string{"front", "control", "directory"},
		"ip": v.ip, "zone": v.zone, "region": "region-1", "zones": regions,
		"listen": map[string]string{
			"front": at(portCallers), "ready": at(portReady), "control": at(portControl), "directory": at(portDirectory),
		},
		"internalPorts": []int{7600, 7615}, "seeds": seeds, "bootstrap": true, "inTolerance": false,
		"limits": map[string]any{
			"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0,
		},
		"dataDir": nil, "discovery": "platform", "entryMode": "directory", "heartbeatMs": 1200,
		"contracts": []string{
			"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota", "platform",
		},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "revokeStrict": false,
			"revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 52, "quotaWindowS": 8,
			"quotaOverage": 0.25, "quotaSlack": 72000, "recoveryS": 12, "passMs": 120, "retryAfterS": 0,
			"enforceFencing": false, "leaseMs": 3000, "freezeSlackMs": 300, "ceilingWindowS": 5, "ceilingOverage": 1.1,
			"version_ms": 5000, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "read", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
			"valueBytes": 1048576, "ttlMinMs": 1000,
		},
	}
}

// serve serves on a free port of an address until the trial ends.
func (t *trial) serve(ip string, h http.Handler) (string, error) {
	l, err := listenOn(ip)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	t.atEnd(func() { _ = server.Close() })
	return l.Addr().String(), nil
}
