package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	frontPort     = 8221
	readyPort     = 8224
	controlPort   = 8229
	directoryPort = 8220
	firstPeerPort = 7600
	lastPeerPort  = 7615
	graceS        = 8
)

// vm is one machine of the system, with the process of its role.
type vm struct {
	name, ip, zone string
	settingsPath   string
	logPath        string

	mu        sync.Mutex
	process   *exec.Cmd
	ended     chan struct{}
	startedAt time.Time
}

// fleetSettings is what the settings of all machines have in common.
type fleetSettings struct {
	storeAddress string
	seeds        []string
	dir          string
}

// newFleet returns n machines in three zones, at loopback addresses whose ports are free.
func newFleet(n int) ([]*vm, error) {
	zones := []string{"cremona", "mantova", "brescia"}
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d", 2+rand.IntN(250), rand.IntN(250))
		var out []*vm
		for i := range n {
			ip := fmt.Sprintf("%s.%d", subnet, i+1)
			if !portsFree(ip) {
				break
			}
			zone := zones[i%len(zones)]
			out = append(out, &vm{name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), ip: ip, zone: zone})
		}
		if len(out) == n {
			return out, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

func portsFree(ip string) bool {
	for _, port := range []int{frontPort, readyPort, controlPort, directoryPort, firstPeerPort + 2} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (v *vm) at(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

// writeSettings writes the settings file, in the format of the platform.
func (v *vm) writeSettings(f fleetSettings, bootstrap bool) error {
	v.settingsPath = filepath.Join(f.dir, v.name+".json")
	v.logPath = filepath.Join(f.dir, v.name+".log")
	region := "padania"
	raw, err := json.Marshal(map[string]any{
		"nodeName": v.name, "role": "entry", "machineClass": "front", "serves": []string{"front", "control", "directory"},
		"ip": v.ip, "zone": v.zone, "region": region,
		"zones":         map[string]string{"cremona": region, "mantova": region, "brescia": region},
		"listen":        map[string]string{"front": v.at(frontPort), "ready": v.at(readyPort), "control": v.at(controlPort), "directory": v.at(directoryPort)},
		"internalPorts": []int{firstPeerPort, lastPeerPort}, "seeds": f.seeds, "bootstrap": bootstrap, "inTolerance": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entryMode": "directory", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": graceS,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "revokeStrict": false,
			"revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 54, "quotaWindowS": 8, "quotaOverage": 0.25,
			"quotaSlack": 72000, "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "enforceFencing": false, "leaseMs": 3000,
			"freezeSlackMs": 300, "ceilingWindowS": 5, "ceilingOverage": 1.1, "version_ms": 5000, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": f.storeAddress, "form": "read", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
		},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(v.settingsPath, raw, 0o600)
}

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	log, err := os.OpenFile(v.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/fuchsiaspoke", "entry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "FUCHSIASPOKE_CONFIG=" + v.settingsPath}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	v.process, v.ended, v.startedAt = cmd, ended, time.Now()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// began returns when the process was started.
func (v *vm) began() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.startedAt
}

// signal sends a signal to the process, if there is one.
func (v *vm) signal(s os.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		_ = v.process.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	v.wait()
}

// wait waits for the end of the process.
func (v *vm) wait() {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// ready reports whether the machine says that it is ready.
func (v *vm) ready() bool {
	c := &http.Client{Timeout: time.Second}
	response, err := c.Get("http://" + v.at(readyPort) + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until all machines are ready.
func waitReady(ctx context.Context, vms []*vm) error {
	for _, v := range vms {
		for !v.ready() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s did not become ready", v.name)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}
