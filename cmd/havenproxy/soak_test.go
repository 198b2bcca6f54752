package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// soakSeedsEnv names the seeds that TestFloodSoak plays, as FIRST-LAST.
	soakSeedsEnv = "HAVENPROXY_SOAK_SEEDS"

	soakFor      = 4 * time.Second // before the stop
	soakInterval = 5 * time.Millisecond
	crowdClients = 400
	// killAfter is when SIGKILL may follow SIGTERM: the longest deadline of the tests' deployment, and 0.7 s.
	killAfter = 3700 * time.Millisecond
	// goneAfter is how long after its close a client counts as gone.
	goneAfter = 100 * time.Millisecond
	// minServedInSoak is the share of requests that are served in time at least, unless the clients ask for more connections
	// than there are descriptors.
	minServedInSoak = 0.95
)

// soakFlood is a flood of a soak's run.
type soakFlood struct {
	Kind    string
	Clients int
	Reads   bool
	Begin   time.Duration
}

// soakPlan is what happens in a run of the soak. It follows from the seed.
type soakPlan struct {
	CPUShare float64
	MemoryMB int
	WorkTime time.Duration
	Floods   []soakFlood
	Crowd    bool            // idle clients fill the descriptors
	Reloads  []time.Duration // when SIGHUP comes, each with another address of discovery
	Torn     []time.Duration // when SIGHUP comes while the configuration is half written
}

// newSoakPlan draws a plan.
func newSoakPlan(seed uint64) (plan soakPlan) {
	random := rand.New(rand.NewPCG(seed, 0))
	kinds := slices.Sorted(maps.Keys(floodKinds))
	plan.CPUShare = []float64{1, 0.5, 0.2}[random.IntN(3)]
	plan.MemoryMB = []int{64, 96, 192}[random.IntN(3)]
	plan.WorkTime = time.Duration(2+random.IntN(15)) * time.Millisecond
	plan.Crowd = random.IntN(4) == 0
	moment := func() time.Duration {
		return 500*time.Millisecond + time.Duration(random.Int64N(int64(soakFor-time.Second)))
	}
	for range 1 + random.IntN(2) {
		plan.Floods = append(plan.Floods, soakFlood{kinds[random.IntN(len(kinds))], []int{1, 6, 60, 300}[random.IntN(4)],
			random.IntN(2) == 0, moment()})
	}
	for range random.IntN(3) {
		plan.Reloads = append(plan.Reloads, moment())
	}
	for range random.IntN(2) {
		plan.Torn = append(plan.Torn, moment())
	}
	return plan
}

// moreThanDescriptors reports whether the clients ask for more connections than the proxy has descriptors for.
func (p soakPlan) moreThanDescriptors() bool {
	clients := 0
	for _, f := range p.Floods {
		clients += f.Clients
	}
	return p.Crowd || clients >= 300
}

// TestFloodSoak plays floods, signals in series, crowds and clients that leave, by seeds, and checks that other clients are
// served, that no write runs twice, that nothing is sent for clients that have left, and that memory and the exit keep to their
// limits.
func TestFloodSoak(t *testing.T) {
	var first, last uint64
	if _, err := fmt.Sscanf(cmp.Or(os.Getenv(soakSeedsEnv), "1-8"), "%d-%d", &first, &last); err != nil {
		t.Fatalf("%s: %v", soakSeedsEnv, err)
	}
	inLanes(last-first+1, func(i uint64, lane floodLane) {
		t.Run(fmt.Sprint("seed ", first+i), func(t *testing.T) { playSoak(t, first+i, lane) })
	})
}

// playSoak plays the run of a seed on the cores of a lane.
func playSoak(t *testing.T, seed uint64, lane floodLane) {
	plan := newSoakPlan(seed)
	text, _ := json.Marshal(plan)
	t.Logf("plan: %s", text)
	fleet := startDatabases(t, 12, plan.WorkTime)
	p, _ := startProxyOfFleet(t, fleet, proxyOptions{sockets: fewDescriptors, memoryMB: plan.MemoryMB,
		program: os.Getenv(floodProgramEnv), cores: lane.proxy, cpuQuota: plan.CPUShare})
	random := rand.New(rand.NewPCG(seed, 1))
	others := &otherClients{proxy: p, leavesAfter: func() time.Duration {
		if random.IntN(20) > 0 {
			return 0
		}
		return time.Duration(random.IntN(40)) * time.Millisecond
	}}
	others.run(300*time.Millisecond, soakInterval)

	begin := time.Now()
	var events sync.WaitGroup
	at := func(when time.Duration, event func()) {
		events.Go(func() { time.Sleep(time.Until(begin.Add(when))); event() })
	}
	for _, f := range plan.Floods {
		at(f.Begin, func() {
			startFlood(t, flood{Address: p.address, Kind: f.Kind, Clients: f.Clients, Reads: f.Reads,
				Seconds: floodFor.Seconds()}, lane.flood)()
		})
	}
	if plan.Crowd {
		at(500*time.Millisecond, func() { connectIdleClients(p.address, crowdClients, begin.Add(soakFor)) })
	}
	var signals sync.Mutex
	for _, when := range plan.Reloads {
		next := startDiscovery(t, fleet)
		at(when, func() { signals.Lock(); defer signals.Unlock(); p.reload(t, next.address) })
	}
	for _, when := range plan.Torn {
		at(when, func() {
			signals.Lock()
			defer signals.Unlock()
			whole, _ := os.ReadFile(p.configPath)
			os.WriteFile(p.configPath, whole[:len(whole)/2], 0o600)
			p.command.Process.Signal(syscall.SIGHUP)
			time.Sleep(50 * time.Millisecond)
			os.WriteFile(p.configPath, whole, 0o600)
		})
	}
	delay := watchOwnDelay()
	others.run(soakFor, soakInterval)
	events.Wait()
	peakMB := p.statusMB(t, "VmHWM")
	result := others.takeResults()
	result.OwnDelayMS, result.MemoryMB = milliseconds(delay()), peakMB

	others.stoppedAt = time.Now()
	p.command.Process.Signal(syscall.SIGTERM)
	others.run(killAfter, 4*soakInterval) // on the connections that stay open, until the kill
	stopped := others.takeResults()
	p.checkStopped(t)
	t.Logf("before the stop: %+v", result)
	t.Logf("during the stop: %+v", stopped)
	checkSoak(t, plan, result, stopped)
	others.checkAttempts(t, fleet)
}

// checkStopped fails the test unless the proxy has exited by itself. It is called when a kill may come.
func (p *proxyProcess) checkStopped(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		if code := p.command.ProcessState.ExitCode(); code != 0 {
			t.Errorf("the proxy has exited with %d", code)
		}
	default:
		t.Error("the proxy has not exited when it may be killed")
	}
}

// checkSoak checks how the requests ended before and during the stop.
func checkSoak(t *testing.T, plan soakPlan, result, stopped floodResult) {
	t.Helper()
	if limit := float64(plan.MemoryMB); result.MemoryMB > limit {
		t.Errorf("the proxy held %.1f MB, its limit is %.0f MB", result.MemoryMB, limit)
	}
	if lost := stopped.Lost - stopped.Unreached; lost > 0 {
		t.Errorf("%d requests were lost during the stop", lost)
	}
	lost := result.Lost
	if plan.moreThanDescriptors() { // new connections may be shut unread then
		lost -= result.Unreached
	}
	if lost > 0 {
		t.Errorf("%d requests were lost", lost)
	}
	if served := float64(result.ServedInTime) / float64(result.Sent); served < minServedInSoak && !plan.moreThanDescriptors() {
		t.Errorf("%.3f of the requests were served in time, want %.2f", served, minServedInSoak)
	}
}

// checkAttempts fails the test if a write arrived at databases twice, or an attempt arrived for a client that had left.
func (o *otherClients) checkAttempts(t *testing.T, fleet *databaseFleet) {
	t.Helper()
	for _, r := range o.all {
		attempts := fleet.attemptsOf(fmt.Sprintf("%016x", r.id+1))
		if r.class == "write" && len(attempts) > 1 {
			t.Errorf("write %d arrived %d times", r.id, len(attempts))
		}
		for _, arrived := range attempts {
			if late := arrived.Sub(r.leavesAt.Add(goneAfter)); !r.leavesAt.IsZero() && r.lost && late > 0 {
				t.Errorf("an attempt of request %d arrived %v after its client counted as gone", r.id, late)
			}
		}
	}
}

// connectIdleClients connects clients that say nothing until the end.
func connectIdleClients(address string, clients int, end time.Time) {
	var conns []net.Conn
	for range clients {
		if conn, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			conns = append(conns, conn)
		}
	}
	time.Sleep(time.Until(end))
	for _, conn := range conns {
		conn.Close()
	}
}
