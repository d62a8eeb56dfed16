// Package proof tests the guarantees of a fleet under faults, with real VM processes and stand-in upstreams.
package proof

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/engine"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/service"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/starter"
)

const (
	fleetKey     = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
	readyTimeout = 30 * time.Second
	// stopTimeout is how long a VM may take to be suspended.
	stopTimeout = 5 * time.Second
	// minVMPort and maxVMPort bound the ports of VMs.
	minVMPort = 12_000
	maxVMPort = 32_000
)

var (
	seed           = flag.Int64("seed", 1, "seed of the randomised runs")
	seconds        = flag.Int("seconds", 8, "duration of a randomised run in seconds")
	vmCounts       = flag.String("sizes", "3,6", "numbers of VMs whose control cost is measured, separated by commas")
	noRaceDetector = flag.Bool("plain", false, "build the program without the race detector, for measuring")
	binaryPath     string
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "fuchsiaspoke")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaryPath = filepath.Join(dir, "fuchsiaspoke")
	build := exec.Command("go", "build", "-race="+strconv.FormatBool(!*noRaceDetector), "-o", binaryPath, "../cmd/fuchsiaspoke")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
	return m.Run()
}

// fleet is a set of VM processes with a stand-in platform and stand-in upstreams.
type fleet struct {
	t        *testing.T
	standIns *starter.Starter
	vms      []*vmProcess
	links    *linkProxy
	profiles []fuchsiaspoke.Profile
}

// vmProcess is one VM with its addresses and its current process.
type vmProcess struct {
	vm           fuchsiaspoke.VM
	linkListen   string
	adminAddress string
	// platformProxy forwards this VM's connections to the platform.
	platformProxy *tcpProxy
	cmd           *exec.Cmd
	log           *bytes.Buffer
	exited        chan error
}

// fleetConfig is what newFleet starts and publishes; accounts and engine have defaults.
type fleetConfig struct {
	vms, engines, services int
	accounts               []fuchsiaspoke.ClientAccount
	engine                 func(i int) *engine.Engine
}

func (cfg fleetConfig) withDefaults() fleetConfig {
	if cfg.accounts == nil {
		cfg.accounts = []fuchsiaspoke.ClientAccount{
			{Name: "newcomers", RateTokensPerSecond: 100_000, BurstTokens: 200_000},
			{Name: "hosts", RateTokensPerSecond: 100_000, BurstTokens: 200_000},
		}
	}
	if cfg.engine == nil {
		cfg.engine = func(int) *engine.Engine { return &engine.Engine{} }
	}
	return cfg
}

func newFleet(t *testing.T, cfg fleetConfig) *fleet {
	t.Helper()
	cfg = cfg.withDefaults()
	zones := []fuchsiaspoke.Zone{"zone_a", "zone_b", "zone_c"}
	standIns := &starter.Starter{BaseModel: "base", ServiceName: "booking", Zones: zones}
	for i := range cfg.engines {
		standIns.Engines = append(standIns.Engines, cfg.engine(i))
	}
	for range cfg.services {
		standIns.Services = append(standIns.Services, &service.Service{})
	}
	ctx, cancel := context.WithCancel(context.Background())
	requireNoError(t, standIns.Start(ctx))
	t.Cleanup(func() { cancel(); _ = standIns.Wait() })
	f := &fleet{t: t, standIns: standIns, links: newLinkProxy()}
	t.Cleanup(f.links.close)
	f.publishDocuments(cfg)
	// The proxies listen before VM ports are chosen, so that no proxy takes a port reserved for a VM.
	platformProxies := make([]*tcpProxy, cfg.vms)
	for i := range platformProxies {
		platformProxies[i] = newTCPProxy(t, standIns.Address())
	}
	for i := range cfg.vms {
		f.vms = append(f.vms, f.newVMProcess(fmt.Sprintf("vm_%d", i), zones[i%len(zones)], platformProxies[i]))
	}
	f.publishVMs()
	for _, proc := range f.vms {
		f.startVM(proc)
	}
	t.Cleanup(f.stopAll)
	for _, proc := range f.vms {
		f.awaitReady(proc)
	}
	f.awaitLeases(cfg)
	return f
}

func (f *fleet) publishDocuments(cfg fleetConfig) {
	var keys []fuchsiaspoke.Key
	var names []string
	for _, account := range cfg.accounts {
		names = append(names, account.Name)
		keys = append(keys, fuchsiaspoke.Key{Hash: sha256Hex(apiKeyOf(account.Name)), Account: account.Name})
	}
	for i := range 20 {
		f.profiles = append(f.profiles, fuchsiaspoke.Profile{
			Name: fmt.Sprintf("guide_%d", i), ClientAccounts: names, BaseModel: "base",
			Adapter: fuchsiaspoke.Adapter{Name: fmt.Sprintf("adapter_%d", i), Version: 1}, MaxOutputTokens: 64,
		})
	}
	f.profiles = append(f.profiles, fuchsiaspoke.Profile{
		Name: "booking", ClientAccounts: names, Service: "booking",
		Routes: []fuchsiaspoke.ProfileRoute{
			{Method: http.MethodPost, PathPrefix: "/fees", CostTokens: 1},
			{Method: http.MethodGet, PathPrefix: "/status", Idempotent: true, CostTokens: 1},
		},
	})
	requireNoError(f.t, f.standIns.PublishAccounts(cfg.accounts))
	requireNoError(f.t, f.standIns.PublishKeys(keys))
	requireNoError(f.t, f.standIns.PublishProfiles(f.profiles))
}

func (f *fleet) newVMProcess(id string, zone fuchsiaspoke.Zone, platformProxy *tcpProxy) *vmProcess {
	linkListen := freeUDPAddress(f.t)
	return &vmProcess{
		linkListen:    linkListen,
		platformProxy: platformProxy,
		adminAddress:  freeTCPAddress(f.t),
		vm: fuchsiaspoke.VM{
			ID: id, Zone: zone, CallerAddress: freeTCPAddress(f.t), LinkAddress: f.links.addVM(f.t, id, linkListen),
		},
	}
}

func (f *fleet) publishVMs() {
	var list []fuchsiaspoke.VM
	for _, proc := range f.vms {
		list = append(list, proc.vm)
	}
	requireNoError(f.t, f.standIns.PublishVMs(list))
}

func (f *fleet) startVM(proc *vmProcess) {
	proc.log = &bytes.Buffer{}
	proc.cmd = exec.Command(binaryPath, "serve",
		"--vm-id", proc.vm.ID, "--availability-zone", string(proc.vm.Zone),
		"--caller-address", proc.vm.CallerAddress, "--link-address", proc.vm.LinkAddress, "--link-listen", proc.linkListen,
		"--admin-address", proc.adminAddress, "--platform-url", "http://"+proc.platformProxy.address())
	proc.cmd.Env = append(os.Environ(), "FUCHSIASPOKE_FLEET_KEY="+fleetKey, "FUCHSIASPOKE_INVARIANTS=stop")
	proc.cmd.Stdout = proc.log
	proc.cmd.Stderr = proc.log
	requireNoError(f.t, proc.cmd.Start())
	proc.exited = make(chan error, 1)
	go func(cmd *exec.Cmd, exited chan error) { exited <- cmd.Wait() }(proc.cmd, proc.exited)
}

func (f *fleet) stopAll() {
	for _, proc := range f.vms {
		_ = proc.cmd.Process.Signal(syscall.SIGCONT)
		_ = proc.cmd.Process.Kill()
		select {
		case err := <-proc.exited:
			f.t.Logf("%s exited after the test: %v", proc.vm.ID, err)
		case <-time.After(5 * time.Second):
		}
		if strings.Contains(proc.log.String(), "DATA RACE") || strings.Contains(proc.log.String(), "panic:") || f.t.Failed() {
			f.t.Logf("end of the log of %s:\n%s", proc.vm.ID, lastBytes(proc.log.String(), 6000))
		}
		if strings.Contains(proc.log.String(), "DATA RACE") || strings.Contains(proc.log.String(), "panic:") {
			f.t.Errorf("%s logged a data race or a panic", proc.vm.ID)
		}
	}
}

// signalVM sends a signal to a VM. After SIGSTOP it returns once all threads of the VM have stopped.
func (f *fleet) signalVM(proc *vmProcess, sig syscall.Signal) {
	requireNoError(f.t, proc.cmd.Process.Signal(sig))
	if sig != syscall.SIGSTOP {
		return
	}
	f.eventually(stopTimeout, "VM "+proc.vm.ID+" is suspended", func() bool { return runningThreads(f.t, proc.cmd.Process.Pid) == 0 })
}

func (f *fleet) awaitReady(proc *vmProcess) {
	f.t.Helper()
	f.eventually(readyTimeout, "VM "+proc.vm.ID+" is ready", func() bool {
		resp, err := http.Get("http://" + proc.adminAddress + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (f *fleet) awaitLeases(cfg fleetConfig) {
	f.t.Helper()
	// One lease for each engine and each client account, and one for the weight store.
	want := cfg.engines + len(cfg.accounts) + 1
	f.eventually(readyTimeout, fmt.Sprintf("%d leases are held", want), func() bool { return len(f.leaseHolders()) >= want })
}

// leaseHolders returns, by resource, the ID of a VM whose status reports that it holds the lease.
func (f *fleet) leaseHolders() map[string]string {
	holders := map[string]string{}
	for _, proc := range f.vms {
		status, err := f.status(proc)
		if err != nil {
			continue
		}
		for _, resource := range status.Self.HeldLeases {
			holders[resource] = proc.vm.ID
		}
	}
	return holders
}

func (f *fleet) status(proc *vmProcess) (fuchsiaspoke.Status, error) {
	var status fuchsiaspoke.Status
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + proc.adminAddress + "/admin/status")
	if err != nil {
		return status, err
	}
	defer resp.Body.Close()
	return status, json.NewDecoder(resp.Body).Decode(&status)
}

func (f *fleet) eventually(timeout time.Duration, condition string, isMet func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(timeout)
	for !isMet() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out after %v waiting until %s", timeout, condition)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// response is what a caller received from a VM.
type response struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// refusal returns the error code and the run field of the error body; both are empty for other bodies.
func (r response) refusal() (code, run string) {
	var body struct {
		Error struct{ Code, Run string }
	}
	_ = json.Unmarshal(r.body, &body)
	return body.Error.Code, body.Error.Run
}

var defaultClient = &http.Client{Timeout: 60 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (p *vmProcess) post(path, account, body string, header ...string) response {
	return p.postWith(defaultClient, path, account, body, header...)
}

func (p *vmProcess) postWith(client *http.Client, path, account, body string, header ...string) response {
	return p.do(client, http.MethodPost, path, account, body, header...)
}

func (p *vmProcess) do(client *http.Client, method, path, account, body string, header ...string) response {
	req, err := http.NewRequest(method, "http://"+p.vm.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	if account != "" {
		req.Header.Set("Authorization", "Bearer "+apiKeyOf(account))
	}
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: data, err: err}
}

func completionBody(profile string, maxTokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"welcome to Patan","max_tokens":%d}`, profile, maxTokens)
}

func apiKeyOf(account string) string { return "key-of-" + account + "-0123456789" }

func sha256Hex(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func freeTCPAddress(t *testing.T) string {
	return freeAddress(t, func(address string) (io.Closer, error) { return net.Listen("tcp", address) })
}

func freeUDPAddress(t *testing.T) string {
	return freeAddress(t, func(address string) (io.Closer, error) { return net.ListenPacket("udp", address) })
}

// givenPorts holds the ports that freeAddress has returned. One is free until its VM listens on it, and after the VM has ended.
var givenPorts sync.Map

// freeAddress finds a free port below the kernel's ephemeral range, each port once. An outgoing connection could otherwise take the port
// of a VM that is down or not yet started.
func freeAddress(t *testing.T, listen func(address string) (io.Closer, error)) string {
	for range 100 {
		port := minVMPort + rand.Intn(maxVMPort-minVMPort)
		if _, given := givenPorts.LoadOrStore(port, true); given {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := listen(address); err == nil {
			requireNoError(t, l.Close())
			return address
		}
	}
	t.Fatal("no free port found in 100 attempts between minVMPort and maxVMPort")
	return ""
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func lastBytes(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	return "..." + text[len(text)-maxBytes:]
}
