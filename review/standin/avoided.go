//go:build review

package main

import (
	"fmt"
	"time"

	"topazhollow/internal/protocol"
)

// cordillera is the machine type of the deployment peaje-cl.
var cordillera = protocol.MachineType{Name: "cordillera-16", CPUs: 16, MemoryGB: 128, CacheGB: 70, FetchGBPerSecond: 0.5, PricePerHour: 1.35,
	SpotPricePerHour: 0.51, BootSeconds: 15}

const (
	failsFor = 5 * time.Second
	maxWait  = 90 * time.Second // of the rule
)

// avoided: one machine fails every task that it starts for some seconds. Afterwards a job that may run in its zone only must
// not be left waiting while the machine has room.
func avoided(rec *record, dir string, trouble bool) (broken string, err error) {
	g, err := openRegion(rec, dir, peaje(cordillera, 1, 1))
	if err != nil {
		return "", err
	}
	defer g.close()
	service := array("job-000009", "gate", "vision-vial", 2, 1, 2, 0)
	service.Kind, service.Spread, service.Spot = protocol.Service, true, false
	job := array("job-000001", "plate-match", "cobranza", 3, 4, 27, 5)
	zone := g.site.zones[0]
	job.Zone = &zone
	g.jobs.runs = func(uid string) time.Duration {
		if uid == service.UID {
			return time.Hour
		}
		return 5 * time.Second
	}
	if err := g.awaitHealthy(20 * time.Second); err != nil {
		return "", err
	}
	// The service has one replica on each machine, so that neither is idle and returned.
	if err := g.submit(service); err != nil {
		return "", err
	}
	if err := g.awaitStarts(service.UID, 2); err != nil {
		return "", err
	}
	w := g.cloud.workers()[0]
	if w.zone != zone {
		return "", fmt.Errorf("the first machine is in %s", w.zone)
	}
	rec.add("machine %s fails every task that it starts from now on: %v", w.name, trouble)
	w.setFailing(trouble)
	if err := g.submit(job); err != nil {
		return "", err
	}
	time.Sleep(failsFor)
	w.setFailing(false)
	over := time.Now()
	rec.add("machine %s is sound from now on", w.name)
	startsAtEnd, _, _, _ := g.jobs.figures(job.UID)
	for time.Since(over) < maxWait+2*time.Second {
		time.Sleep(5 * time.Second)
		if g.poll(job.UID).State == protocol.Done {
			return "", nil
		}
		starts, _, failed, done := g.jobs.figures(job.UID)
		rec.add("%s: %d starts, %d failed, %d of %d tasks completed; %s: %g of %g CPUs free", job.UID, starts, failed, done, job.Tasks,
			w.name, w.freeCPUs(), w.typ.CPUs)
		if starts != startsAtEnd {
			return "", nil // it is not left waiting
		}
	}
	return fmt.Sprintf("%s has been waiting for %.0f s since the machine is sound, which has %g of %g CPUs free",
		job.UID, time.Since(over).Seconds(), w.freeCPUs(), w.typ.CPUs), nil
}
