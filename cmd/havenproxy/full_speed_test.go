package main

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const (
	fullSpeedFor      = time.Second
	fullSpeedNamesFor = 3 * time.Second // under ever new names, which may fill a table
	fullSpeedMemoryMB = 64
	// steadyGrowthMB is by how much memory may grow in the second half of a run, when all tables of a bounded size are full.
	steadyGrowthMB = 8
	batchQueries   = 500
)

// fullSpeedQueries return the i-th query that one client sends at full speed.
var fullSpeedQueries = map[string]func(i int) string{
	"empty queries":      func(int) string { return "" },
	"semicolons":         func(int) string { return " ; ;" },
	"one read":           func(i int) string { return readQuery(1<<20+i, "any", time.Second, 0) },
	"one id":             func(int) string { return readQuery(1<<20, "any", time.Second, 0) },
	"reads without time": func(i int) string { return readQuery(1<<20+i, "any", 0, 0) },
	"ever new groups":    func(i int) string { return readQuery(1<<20+i, "any", time.Second, 1000+i) },
	"ever new sessions":  func(i int) string { return readQuery(1<<20+i, "session", time.Second, i%2) },
	"writes":             func(i int) string { return writeQuery(1<<20+i, time.Second, i%2) },
	"writes to new groups": func(i int) string {
		return writeQuery(1<<20+i, time.Second, 1000+i)
	},
	"ever new classes":     func(i int) string { return readQuery(1<<20+i, fmt.Sprint("c", i), time.Second, 0) },
	"no comment":           func(int) string { return "SELECT 1" },
	"no id":                func(i int) string { return strings.Replace(readQuery(i, "any", time.Second, 0), "id=", "ib=", 1) },
	"a timeout of letters": func(i int) string { return strings.Replace(readQuery(i, "any", time.Second, 0), "d=1000", "d=x", 1) },
	"ever new long ids": func(i int) string {
		return strings.Replace(readQuery(i, "any", time.Second, 0), "id=", fmt.Sprintf("id=%d%s", i, strings.Repeat("i", 4000)), 1)
	},
	"ever new fields": func(i int) string {
		return strings.Replace(readQuery(1<<20+i, "any", time.Second, 0), "id=", fmt.Sprintf("f%d=%d,id=", i, i), 1)
	},
}

// While one client sent small or unsound queries at full speed, also under ever new names, others got their answers late or
// never, or memory grew without end.
func TestClientAtFullSpeedDelaysNobodyAndFillsNoTable(t *testing.T) {
	for name := range fullSpeedQueries {
		t.Run(name+", a fifth of a core", func(t *testing.T) {
			runBeside(t)
			checkFullSpeed(t, proxyOptions{cpuShare: 0.2}, 12, name, true)
		})
		for _, reads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, answers read %v", name, reads), func(t *testing.T) {
				runBeside(t)
				checkFullSpeed(t, proxyOptions{}, 12, name, reads)
			})
		}
	}
	// In a large fleet other tables are in use.
	for _, name := range []string{"ever new groups", "writes to new groups", "ever new sessions"} {
		t.Run(name+", large fleet", func(t *testing.T) {
			runBeside(t)
			checkFullSpeed(t, proxyOptions{}, 40*groupSize, name, true)
		})
	}
}

// checkFullSpeed fails the test if a request is lost, or memory grows steadily, while one client sends queries at full speed.
func checkFullSpeed(t *testing.T, options proxyOptions, databases int, kind string, reads bool) {
	t.Helper()
	fleet := startDatabases(t, databases, 5*time.Millisecond)
	options.sockets, options.memoryMB = fewDescriptors, fullSpeedMemoryMB
	p, _ := startProxyOfFleet(t, fleet, options)
	duration := fullSpeedFor
	if strings.Contains(t.Name(), "new") {
		duration = fullSpeedNamesFor
	}
	end := time.Now().Add(duration)
	sender := floodClient{flood: flood{Address: p.address, Kind: kind, Reads: reads}}
	sent := make(chan int)
	go func() { sender.run(end); sent <- sender.sent }()
	load := newLoadGenerator(p)
	load.run(duration/2, 20*time.Millisecond, 2)
	half := p.statusMB(t, "VmRSS")
	load.run(duration/2, 20*time.Millisecond, 2)
	grown := p.statusMB(t, "VmRSS") - half
	t.Logf("one client sent %d queries; the proxy holds %.1f MB, %.1f MB more than half way", <-sent, half+grown, grown)
	load.checkNoneLost(t)
	if grown > steadyGrowthMB {
		t.Errorf("memory grew by %.1f MB in the second half of the run", grown)
	}
	if peakMB := p.kill(t); peakMB > fullSpeedMemoryMB {
		t.Errorf("the proxy held %.1f MB, its limit is %d MB", peakMB, fullSpeedMemoryMB)
	}
}
