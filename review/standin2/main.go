package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
)

func peaje() Site {
	return Site{Name: "peaje-cl", Zones: []string{"concepcion-sur", "santiago-centro"},
		Teams:    []Team{{Name: "cobranza", CPUs: 160, CPUsMax: 456}, {Name: "vision-vial", CPUs: 80, CPUsMax: 264}, {Name: "fiscalia-ops", CPUs: 128, CPUsMax: 264}},
		Types:    []MachineType{{"cordillera-16", 16, 0, 128, 200, 0.5, 1.35, 0.51, 15, []string{"concepcion-sur", "santiago-centro"}}},
		Capacity: map[string]int{"cordillera-16/santiago-centro/false": 6, "cordillera-16/santiago-centro/true": 10, "cordillera-16/concepcion-sur/false": 4, "cordillera-16/concepcion-sur/true": 8},
		Initial:  []string{"cordillera-16/santiago-centro/false", "cordillera-16/concepcion-sur/false"},
		Periods:  Periods{2, 12, 30, 4, 32}, RPS: 200, WPS: 40, CRPS: 8, Lag: 4, ValueKB: 16, Ops: 12, MemoryMB: 125, Cores: 0.24, Sockets: 1500, ClockOff: 5}
}

func main() {
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 SCENARIO ROOT RECORD [SEED]")
		os.Exit(2)
	}
	seed := int64(1)
	if len(os.Args) > 4 {
		seed, _ = strconv.ParseInt(os.Args[4], 10, 64)
	}
	root, err := filepath.Abs(os.Args[2])
	check(err)
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	run, ok := scenarios[os.Args[1]]
	if !ok {
		check(fmt.Errorf("no scenario %q", os.Args[1]))
	}
	code := run(root, os.Args[3], dir, seed)
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	os.Exit(code)
}

var scenarios = map[string]func(root, record, dir string, seed int64) int{
	"service":   caseService,
	"guarantee": caseGuarantee,
	"gang":      caseGang,
	"image":     caseImage,
	"report":    caseReport,
}
