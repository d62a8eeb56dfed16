// Command casedriver plays the review's cases: it starts VMs as separate processes beside stand-ins of the platform's store, of replicas and
// of clients, and checks one rule by what these have seen.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// seedCount is the number of machines that the settings name as seeds.
const seedCount = 3

// limit is the longest time that a case may take.
const limit = 115 * time.Second

// playedCase plays a case in a world. It returns how the rule was broken, nothing if it held, or an error if the case couldn't run.
type playedCase func(ctx context.Context, w *world, trouble bool) (broken []string, err error)

var cases = map[string]playedCase{
	"version-without-owner": playVersionWithoutOwner,
	"cut-while-queued":      playCutWhileQueued,
	"rejoin":                playRejoin,
	"seeds-stay-down":       playSeedsStayDown,
}

// world is what a case plays in.
type world struct {
	rec     *recorder
	store   *store
	engines []*engine
	vms     []*vm
	fleet   fleetSettings
	running sync.WaitGroup
	// softwareVersions are those of the engines; empty is one version.
	softwareVersions []string
	// onOrder is called as an order arrives at an engine; nil is not.
	onOrder func(e *engine, holder string, token int64)

	mu       sync.Mutex
	versions map[string]declared
	sentTo   map[string]*vm
	// accepted holds the attempts that an engine has accepted.
	accepted map[string]bool
}

// declared is the newest version of an adapter, and when it was acknowledged.
type declared struct {
	version int64
	at      time.Time
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file to which is written what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *record, os.Getenv("TROUBLE") != "0"))
}

func run(name, record string, trouble bool) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case has the name %q\n", name)
		return 2
	}
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	w, err := newWorld(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.end()
	broken, err := play(ctx, w, trouble)
	cancel()
	w.running.Wait()
	if err != nil {
		rec.log("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return 2
	}
	for _, b := range broken {
		rec.log("BROKEN: %s", b)
	}
	fmt.Printf("trouble %v: the rule was broken %d times\n", trouble, len(broken))
	if len(broken) > 0 {
		fmt.Println(broken[0])
		return 1
	}
	return 0
}

func newWorld(rec *recorder) (*world, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	return &world{
		rec: rec, store: newStore(), fleet: fleetSettings{dir: dir}, versions: map[string]declared{}, sentTo: map[string]*vm{},
		accepted: map[string]bool{},
	}, nil
}

// end ends all processes. The logs of the VMs are kept if CASE_LOGS names a folder.
func (w *world) end() {
	for _, v := range w.vms {
		v.kill()
	}
	if to := os.Getenv("CASE_LOGS"); to != "" {
		for _, v := range w.vms {
			if raw, err := os.ReadFile(v.logPath); err == nil {
				_ = os.WriteFile(filepath.Join(to, v.name+".log"), raw, 0o600)
			}
		}
	}
	_ = os.RemoveAll(w.fleet.dir)
}

// newest returns the newest version of an adapter; 1 if none was declared.
func (w *world) newest(adapter string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.versions[adapter].version, 1)
}

// declare announces a new version of an adapter.
func (w *world) declare(adapter string, version int64) {
	w.store.put("op/version/"+modelName+"."+adapter, map[string]any{"model": modelName, "adapter": adapter, "version": version})
	w.mu.Lock()
	w.versions[adapter] = declared{version, time.Now()}
	w.mu.Unlock()
	w.rec.log("operator: version %d of adapter %s is acknowledged", version, adapter)
}

// vmOf returns the VM to which an attempt was sent.
func (w *world) vmOf(attempt string) *vm {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sentTo[attempt]
}

// recordAcceptance records that an engine has accepted an attempt.
func (w *world) recordAcceptance(e *engine, attempt string) {
	w.mu.Lock()
	w.accepted[attempt] = true
	w.mu.Unlock()
	w.rec.log("engine %s: attempt %s is accepted", e.id, attempt)
}

// wasAccepted reports whether any engine has accepted an attempt.
func (w *world) wasAccepted(attempt string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.accepted[attempt]
}

// send makes one attempt of a client.
func (w *world) send(ctx context.Context, v *vm, c call) answer {
	attempt := newAttempt()
	w.mu.Lock()
	w.sentTo[attempt] = v
	w.mu.Unlock()
	return send(ctx, w.rec, v, attempt, c)
}

// start serves the store, and starts engines and VMs.
func (w *world) start(ctx context.Context, engines, vms int, config map[string]any, onBegin func(e *engine, attempt, adapter string, version int64)) error {
	address, err := serve(ctx, w.store)
	if err != nil {
		return err
	}
	w.fleet.storeAddress = address
	w.store.put("op/config", config)
	zones := []string{"cremona", "mantova", "brescia"}
	for i := range engines {
		e := &engine{
			id: fmt.Sprintf("i-7f3a91c%d", i), service: engineService, zone: zones[i%len(zones)], store: w.store, rec: w.rec, newest: w.newest,
			onAccept: w.recordAcceptance, onBegin: onBegin, onOrder: w.onOrder,
		}
		e.software = "v1"
		if i < len(w.softwareVersions) {
			e.software = w.softwareVersions[i]
		}
		if err := e.start(ctx); err != nil {
			return err
		}
		w.engines = append(w.engines, e)
	}
	if w.vms, err = newFleet(vms); err != nil {
		return err
	}
	for _, v := range w.vms[:min(seedCount, vms)] {
		w.fleet.seeds = append(w.fleet.seeds, v.at(controlPort))
	}
	for _, v := range w.vms {
		if err := v.writeSettings(w.fleet, true); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	if err := waitReady(ctx, w.vms); err != nil {
		return err
	}
	// The whole system starts for the first time only once.
	for _, v := range w.vms {
		if err := v.writeSettings(w.fleet, false); err != nil {
			return err
		}
	}
	return w.waitOwned(ctx)
}

// waitOwned waits until each engine has been given an order by some VM, or several seconds.
func (w *world) waitOwned(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(3 * time.Second):
		return nil
	}
}

// sleep waits, and returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
