package main

import (
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// coresEnv and programEnv make this test program bind itself to cores, and then become another program.
	coresEnv   = "HAVENPROXY_TEST_CORES"
	programEnv = "HAVENPROXY_TEST_PROGRAM"

	// quotaPeriod is the period in which a platform stops a process that has used up its share of a core.
	quotaPeriod = 50 * time.Millisecond
	quotaPoll   = 500 * time.Microsecond
)

// onCores returns a command that runs a program, with the environment given, on some of the machine's cores. On a machine
// with few cores it may use all of them.
func onCores(cores, program string, environment ...string) *exec.Cmd {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), coresEnv+"="+cores, programEnv+"="+program)
	command.Env = append(command.Env, environment...)
	return command
}

// becomeProgram binds this process to the cores that its environment names, and replaces it by the program named there.
func becomeProgram() error {
	runtime.LockOSThread() // the thread that calls execve keeps its cores
	var set unix.CPUSet
	for _, core := range strings.Split(os.Getenv(coresEnv), ",") {
		n, err := strconv.Atoi(core)
		if err != nil {
			return err
		}
		if n < runtime.NumCPU() {
			set.Set(n)
		}
	}
	if set.Count() > 0 {
		if err := unix.SchedSetaffinity(0, &set); err != nil {
			return err
		}
	}
	program := os.Getenv(programEnv)
	os.Unsetenv(coresEnv)
	os.Unsetenv(programEnv)
	return syscall.Exec(program, []string{program}, os.Environ())
}

// cpuTime returns the processor time that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	const processClock = 2 // CPUCLOCK_SCHED of a process; see clock_getcpuclockid(3)
	var at unix.Timespec
	err := unix.ClockGettime(int32(^pid<<3|processClock), &at)
	return time.Duration(at.Nano()), err
}

// limitCPU stops a process in each quotaPeriod in which it has used its share of a core, until the period ends. What it uses
// beyond its share is taken from the next period. It returns when the process has exited.
func limitCPU(process *os.Process, share float64, exited <-chan struct{}) {
	quota := time.Duration(share * float64(quotaPeriod))
	periodEnd := time.Now()
	allowed, err := cpuTime(process.Pid)
	for stopped := false; err == nil; {
		select {
		case <-exited:
			return
		case <-time.After(quotaPoll):
		}
		var used time.Duration
		used, err = cpuTime(process.Pid)
		if now := time.Now(); !now.Before(periodEnd) {
			periodEnd = now.Add(quotaPeriod)
			allowed = max(allowed, used-quota) + quota
			if stopped && used < allowed {
				process.Signal(syscall.SIGCONT)
				stopped = false
			}
		}
		if !stopped && used >= allowed {
			process.Signal(syscall.SIGSTOP)
			stopped = true
		}
	}
}

// A process that is limited to a share of a core uses no more than that.
func TestLimitedProcessUsesItsShareOfACore(t *testing.T) {
	command := exec.Command("sh", "-c", "while :; do :; done")
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan struct{})
	go limitCPU(command.Process, 0.2, exited)
	time.Sleep(2 * time.Second)
	used, err := cpuTime(command.Process.Pid)
	command.Process.Kill()
	command.Wait()
	close(exited)
	if err != nil {
		t.Fatal(err)
	}
	if share := used.Seconds() / 2; share == 0 || share > 0.3 {
		t.Errorf("it used %.2f of a core, its share is 0.2", share)
	}
}
