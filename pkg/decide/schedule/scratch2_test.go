package schedule

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// lossTable: where the task-seconds of best-effort jobs go.
type losses struct {
	waitNone, waitOpen, moving, restoring, paced, cpu, run float64
	heavyWait, lightWait                                   float64
}

func (c *pacingSim) trueLoads() {
	for _, j := range c.openJobs {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if st.LongRunning {
					l0 := c.servingLoad(j.ID)
					now := c.now
					c.now = now.Add(-time.Second / 10)
					l1 := c.servingLoad(j.ID)
					c.now = now
					l1 = l0 + (l1-l0)*10
					st.load = trend{at: now, count: 2e6, age: 1e6, ageSquared: 1e6, value: 1e6 * (l0 + l1), valueAge: 1e6 * l1}
				}
			}
		}
	}
}

func (c *pacingSim) account(l *losses) {
	dt := pacingSimStep.Seconds()
	for _, id := range c.wideJobs {
		j := c.openJobs[id]
		if j == nil {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if !st.ready() || st.unfinished == 0 {
					continue
				}
				open := -1
				for _, t := range st.tasks {
					switch {
					case t.done:
					case t.worker == nil:
						if open < 0 {
							var o Orders
							open = 0
							x := c.newSearch(c.now, st, "", &o)
							x.limitInterference = true
							x.forEachCandidate(func(*worker, float64) { open++ })
						}
						if open > 0 {
							l.waitOpen += dt
						} else {
							l.waitNone += dt
						}
					case t.stopping:
						l.moving += dt
					default:
						r := c.hosts[t.worker.Key()].find(t.id, t.run)
						if r == nil {
							l.moving += dt
							continue
						}
						if c.now.Before(r.readyAt) {
							l.restoring += dt
							continue
						}
						speed := float64(r.usedMilliCPU) / float64(r.Step.Need.MilliCPU)
						p := float64(r.pace) / 100
						l.paced += dt * (1 - p)
						l.cpu += dt * max(p-speed, 0)
						l.run += dt * speed
					}
				}
			}
		}
	}
}

func TestScratchLoss(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("SEEDS"))
	if n == 0 {
		t.Skip()
	}
	for _, name := range strings.Fields(os.Getenv("LOADS")) {
		for _, k := range strings.Fields(os.Getenv("KNOWN")) {
			l := scratchLoads()[name]
			l.knownWeights = k != "0"
			var sum losses
			var errs, occ, cnt, bias float64
			for seed := range n {
				c := newPacingSim(uint64(seed+1), l)
				c.addServingJobs(l.servingJobs)
				for range int(40 * time.Second / pacingSimStep) {
					if k == "2" {
						c.trueLoads()
					}
					c.simulate(pacingSimStep, l.urgentRate, l.wideRate)
					c.account(&sum)
					if c.now.Sub(testStart) > 8*time.Second && c.now.Sub(testStart)%time.Second == 0 {
						for _, w := range c.Scheduler.workerList {
							for _, v := range w.victims {
								e := c.expectedOccupancy(c.now, w, v)
								h := c.hosts[w.Key()]
								p := map[string]float64{}
								for _, r := range h.runs {
									if r.Step.BestEffort {
										p[r.Step.Image] += float64(r.usedMilliCPU) / simWeightMilliCPU
									}
								}
								tr := c.servingLoad(v.step.job.ID)
								for d, x := range p {
									tr += c.interferenceWeights[[2]string{v.step.Image, d}] * x
								}
								errs += (e - tr) * (e - tr)
								bias += e - tr
								occ += tr
								cnt++
							}
						}
					}
				}
			}
			all := sum.waitNone + sum.waitOpen + sum.moving + sum.restoring + sum.paced + sum.cpu + sum.run
			t.Logf("%s known=%s: waiting none open %.3f, waiting with open %.3f, moving %.3f, restoring %.3f, paced %.3f, cpu %.3f, run %.3f; occupancy rmse %.3f bias %.3f mean %.3f", name, k,
				sum.waitNone/all, sum.waitOpen/all, sum.moving/all, sum.restoring/all, sum.paced/all, sum.cpu/all, sum.run/all, math.Sqrt(errs/cnt), bias/cnt, occ/cnt)
		}
	}
	_ = fmt.Sprint
	_ = interfere.PriorWeight
	_ = fleet.Kind("")
}
