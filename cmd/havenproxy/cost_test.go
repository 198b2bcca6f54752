package main

import (
	"syscall"
	"testing"
	"time"

	"havenproxy/internal/wire/discovery"
)

const (
	usualDatabases = manyDatabases / 16

	costLength   = 8 * time.Second
	costInterval = 50 * time.Millisecond // between two requests, as a proxy in a fleet of hundreds sees them
)

// fleetCost is what one proxy needs for the same traffic before a fleet of some size.
type fleetCost struct {
	cpu         time.Duration
	memoryMB    float64
	connections int // made to databases
	listBytes   int // sent by discovery
	served      float64
}

// costOf runs a proxy for a while, with requests to all groups and a list that changes.
func costOf(t *testing.T, databases int) fleetCost {
	fleet := startDatabases(t, databases, 20*time.Millisecond)
	service := startDiscovery(t, fleet)
	known, _ := service.list(-1)
	p := startProxy(t, proxyOptions{known: known, discovery: service.address, fleetSize: manyProxies, sockets: fewSockets})
	requests := newAsker(p)
	for step := range 4 {
		requests.run(costLength/4, costInterval, databases/groupSize)
		service.set(discovery.Terminating, fleet.servers[step*groupSize+1], fleet.servers[step*groupSize+2])
	}
	served := requests.check(t)
	p.command.Process.Signal(syscall.SIGKILL)
	<-p.ended
	usage := p.command.ProcessState.SysUsage().(*syscall.Rusage)
	return fleetCost{
		cpu:         p.command.ProcessState.UserTime() + p.command.ProcessState.SystemTime(),
		memoryMB:    float64(usage.Maxrss) / 1024,
		connections: fleet.accepted(func(*databaseServer) bool { return true }),
		listBytes:   service.bytesSent(),
		served:      served,
	}
}

// The bounds are those that the operators state for a fleet with sixteen times the databases.
func TestCostGrowsLittleWithTheFleet(t *testing.T) {
	usual, large := costOf(t, usualDatabases), costOf(t, manyDatabases)
	t.Logf("%d databases: %+v", usualDatabases, usual)
	t.Logf("%d databases: %+v", manyDatabases, large)
	thousands := float64(manyDatabases) / 1000
	for name, bound := range map[string]struct{ got, most float64 }{
		"CPU seconds": {large.cpu.Seconds(), 1.4*usual.cpu.Seconds() + 0.02 + 0.03*thousands},
		"memory, MB":  {large.memoryMB, 1.5*usual.memoryMB + 8 + 4*thousands},
		"connections": {float64(large.connections), 2.5*float64(usual.connections) + 40},
		"list bytes":  {float64(large.listBytes), 2*float64(usual.listBytes) + 64e3 + 500e3*thousands},
	} {
		if bound.got > bound.most {
			t.Errorf("%s: %.4g, want %.4g at most", name, bound.got, bound.most)
		}
	}
	if large.served < servedAtLeast*usual.served {
		t.Errorf("%.3f served, %.3f with the usual number of databases", large.served, usual.served)
	}
}
