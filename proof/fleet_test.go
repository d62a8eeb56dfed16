// Package proof proves the promises under failure, with real processes.
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
	"syscall"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/engine"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/service"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/starter"
)

const (
	fleetKey    = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
	readyWithin = 30 * time.Second
	// lowestPort and highestPort bound the ports of VMs.
	lowestPort  = 12_000
	highestPort = 32_000
)

var (
	seed    = flag.Int64("seed", 1, "seed of the randomised runs")
	seconds = flag.Int("seconds", 8, "length of a randomised run")
	sizes   = flag.String("sizes", "3,6", "numbers of VMs whose control cost is measured, separated by commas")
	plain   = flag.Bool("plain", false, "build the program without the race detector, for measuring")
	program string
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "fuchsiaspoke")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	program = filepath.Join(folder, "fuchsiaspoke")
	build := exec.Command("go", "build", "-race="+strconv.FormatBool(!*plain), "-o", program, "../cmd/fuchsiaspoke")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
	return m.Run()
}

// fleet is a set of VM processes in front of stand-ins.
type fleet struct {
	t       *testing.T
	world   *starter.Starter
	vms     []*machine
	links   *cutter
	profile []fuchsiaspoke.Profile
}

// machine is one VM process.
type machine struct {
	vm     fuchsiaspoke.VM
	listen string
	admin  string
	// platform is the VM's own path to the platform.
	platform *gate
	cmd      *exec.Cmd
	log      *bytes.Buffer
	exited   chan error
}

type shape struct {
	vms, engines, services int
	accounts               []fuchsiaspoke.ClientAccount
	engine                 func(i int) *engine.Engine
}

func (s shape) withDefaults() shape {
	if s.accounts == nil {
		s.accounts = []fuchsiaspoke.ClientAccount{
			{Name: "newcomers", RateTokensPerSecond: 100_000, BurstTokens: 200_000},
			{Name: "hosts", RateTokensPerSecond: 100_000, BurstTokens: 200_000},
		}
	}
	if s.engine == nil {
		s.engine = func(int) *engine.Engine { return &engine.Engine{} }
	}
	return s
}

func newFleet(t *testing.T, s shape) *fleet {
	t.Helper()
	s = s.withDefaults()
	zones := []fuchsiaspoke.Zone{"zone_a", "zone_b", "zone_c"}
	world := &starter.Starter{BaseModel: "base", ServiceName: "booking", Zones: zones}
	for i := range s.engines {
		world.Engines = append(world.Engines, s.engine(i))
	}
	for range s.services {
		world.Services = append(world.Services, &service.Service{})
	}
	ctx, cancel := context.WithCancel(context.Background())
	must(t, world.Start(ctx))
	t.Cleanup(func() { cancel(); _ = world.Wait() })
	f := &fleet{t: t, world: world, links: newCutter()}
	t.Cleanup(f.links.close)
	f.publish(s)
	// Gates come first: they must not take a port that a machine was given.
	gates := make([]*gate, s.vms)
	for i := range gates {
		gates[i] = newGate(t, world.Address())
	}
	for i := range s.vms {
		f.vms = append(f.vms, f.newMachine(fmt.Sprintf("vm_%d", i), zones[i%len(zones)], gates[i]))
	}
	f.publishVMs()
	for _, m := range f.vms {
		f.start(m)
	}
	t.Cleanup(f.stop)
	for _, m := range f.vms {
		f.awaitReady(m)
	}
	f.awaitLeases(s)
	return f
}

func (f *fleet) publish(s shape) {
	var keys []fuchsiaspoke.Key
	var names []string
	for _, account := range s.accounts {
		names = append(names, account.Name)
		keys = append(keys, fuchsiaspoke.Key{Hash: hash(keyOf(account.Name)), Account: account.Name})
	}
	for i := range 20 {
		f.profile = append(f.profile, fuchsiaspoke.Profile{
			Name: fmt.Sprintf("guide_%d", i), ClientAccounts: names, BaseModel: "base",
			Adapter: fuchsiaspoke.Adapter{Name: fmt.Sprintf("adapter_%d", i), Version: 1}, MaxOutputTokens: 64,
		})
	}
	f.profile = append(f.profile, fuchsiaspoke.Profile{
		Name: "booking", ClientAccounts: names, Service: "booking",
		Routes: []fuchsiaspoke.ProfileRoute{
			{Method: http.MethodPost, PathPrefix: "/fees", CostTokens: 1},
			{Method: http.MethodGet, PathPrefix: "/status", Idempotent: true, CostTokens: 1},
		},
	})
	must(f.t, f.world.PublishAccounts(s.accounts))
	must(f.t, f.world.PublishKeys(keys))
	must(f.t, f.world.PublishProfiles(f.profile))
}

func (f *fleet) newMachine(id string, zone fuchsiaspoke.Zone, platform *gate) *machine {
	listen := freeUDP(f.t)
	return &machine{
		listen:   listen,
		platform: platform,
		admin:    freeTCP(f.t),
		vm: fuchsiaspoke.VM{
			ID: id, Zone: zone, CallerAddress: freeTCP(f.t), LinkAddress: f.links.add(f.t, id, listen),
		},
	}
}

func (f *fleet) publishVMs() {
	var list []fuchsiaspoke.VM
	for _, m := range f.vms {
		list = append(list, m.vm)
	}
	must(f.t, f.world.PublishVMs(list))
}

func (f *fleet) start(m *machine) {
	m.log = &bytes.Buffer{}
	m.cmd = exec.Command(program, "serve",
		"--vm-id", m.vm.ID, "--availability-zone", string(m.vm.Zone),
		"--caller-address", m.vm.CallerAddress, "--link-address", m.vm.LinkAddress, "--link-listen", m.listen,
		"--admin-address", m.admin, "--platform-url", "http://"+m.platform.address())
	m.cmd.Env = append(os.Environ(), "FUCHSIASPOKE_FLEET_KEY="+fleetKey, "FUCHSIASPOKE_INVARIANTS=stop")
	m.cmd.Stdout = m.log
	m.cmd.Stderr = m.log
	must(f.t, m.cmd.Start())
	m.exited = make(chan error, 1)
	go func(cmd *exec.Cmd, exited chan error) { exited <- cmd.Wait() }(m.cmd, m.exited)
}

func (f *fleet) stop() {
	for _, m := range f.vms {
		_ = m.cmd.Process.Signal(syscall.SIGCONT)
		_ = m.cmd.Process.Kill()
		select {
		case err := <-m.exited:
			f.t.Logf("%s: %v", m.vm.ID, err)
		case <-time.After(5 * time.Second):
		}
		if strings.Contains(m.log.String(), "DATA RACE") || strings.Contains(m.log.String(), "panic:") || f.t.Failed() {
			f.t.Logf("%s:\n%s", m.vm.ID, tail(m.log.String(), 6000))
		}
		if strings.Contains(m.log.String(), "DATA RACE") || strings.Contains(m.log.String(), "panic:") {
			f.t.Errorf("%s failed inside", m.vm.ID)
		}
	}
}

func (f *fleet) signal(m *machine, s syscall.Signal) {
	must(f.t, m.cmd.Process.Signal(s))
}

func (f *fleet) awaitReady(m *machine) {
	f.t.Helper()
	f.eventually(readyWithin, "VM "+m.vm.ID+" is ready", func() bool {
		resp, err := http.Get("http://" + m.admin + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (f *fleet) awaitLeases(s shape) {
	f.t.Helper()
	want := s.engines + len(s.accounts) + 1
	f.eventually(readyWithin, fmt.Sprintf("%d leases are held", want), func() bool { return len(f.leases()) >= want })
}

// leases returns who says that it holds what.
func (f *fleet) leases() map[string]string {
	held := map[string]string{}
	for _, m := range f.vms {
		status, err := f.status(m)
		if err != nil {
			continue
		}
		for _, name := range status.Self.HeldLeases {
			held[name] = m.vm.ID
		}
	}
	return held
}

func (f *fleet) status(m *machine) (fuchsiaspoke.Status, error) {
	var status fuchsiaspoke.Status
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.admin + "/admin/status")
	if err != nil {
		return status, err
	}
	defer resp.Body.Close()
	return status, json.NewDecoder(resp.Body).Decode(&status)
}

func (f *fleet) eventually(within time.Duration, what string, holds func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(within)
	for !holds() {
		if time.Now().After(deadline) {
			f.t.Fatalf("not within %v: %s", within, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (a answer) refusal() (code, run string) {
	var body struct {
		Error struct{ Code, Run string }
	}
	_ = json.Unmarshal(a.body, &body)
	return body.Error.Code, body.Error.Run
}

var client = &http.Client{Timeout: 60 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (m *machine) post(path, account, body string, header ...string) answer {
	return m.postBy(client, path, account, body, header...)
}

func (m *machine) postBy(client *http.Client, path, account, body string, header ...string) answer {
	return m.do(client, http.MethodPost, path, account, body, header...)
}

func (m *machine) do(client *http.Client, method, path, account, body string, header ...string) answer {
	r, err := http.NewRequest(method, "http://"+m.vm.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	if account != "" {
		r.Header.Set("Authorization", "Bearer "+keyOf(account))
	}
	r.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: data, err: err}
}

func completion(profile string, maxTokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"welcome to Patan","max_tokens":%d}`, profile, maxTokens)
}

func keyOf(account string) string { return "key-of-" + account + "-0123456789" }

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func freeTCP(t *testing.T) string {
	return free(t, func(address string) (io.Closer, error) { return net.Listen("tcp", address) })
}

func freeUDP(t *testing.T) string {
	return free(t, func(address string) (io.Closer, error) { return net.ListenPacket("udp", address) })
}

// free finds a port below those that the kernel gives to outgoing connections, which would take the port of a VM that is
// down or not yet up.
func free(t *testing.T, listen func(address string) (io.Closer, error)) string {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.Intn(highestPort-lowestPort))
		if l, err := listen(address); err == nil {
			must(t, l.Close())
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func tail(text string, size int) string {
	if len(text) <= size {
		return text
	}
	return "..." + text[len(text)-size:]
}
