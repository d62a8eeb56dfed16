package proof

import (
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// stoppedStates are the states in /proc of a thread that no longer runs: stopped, traced, dead or a zombie.
const stoppedStates = "TtXZ"

// runningThreads counts the threads of a process that have not stopped.
func runningThreads(t *testing.T, pid int) int {
	t.Helper()
	files, err := filepath.Glob("/proc/" + strconv.Itoa(pid) + "/task/*/stat")
	requireNoError(t, err)
	n := 0
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			// The thread has ended.
			continue
		}
		// The state follows the command's name, which is in parentheses.
		_, rest, _ := strings.Cut(string(raw), ") ")
		if rest == "" || !strings.Contains(stoppedStates, rest[:1]) {
			n++
		}
	}
	return n
}

// A VM goes on for a while after SIGSTOP was sent, until all its threads were scheduled once more. What it answers then is no answer of
// a suspended VM.
func TestSuspendedVMHasStopped(t *testing.T) {
	f := newFleet(t, fleetConfig{vms: 1, engines: 1, services: 1, accounts: accounts("newcomers")})
	proc := f.vms[0]
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					proc.do(shortClient, http.MethodGet, "/v1/services/booking/status/1", "newcomers", "")
				}
			}
		})
	}
	stillRunning := 0
	for range 50 {
		f.signalVM(proc, syscall.SIGSTOP)
		if runningThreads(t, proc.cmd.Process.Pid) > 0 {
			stillRunning++
		}
		f.signalVM(proc, syscall.SIGCONT)
		time.Sleep(20 * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	if stillRunning > 0 {
		t.Errorf("the VM still ran after %d of 50 suspensions", stillRunning)
	}
}
