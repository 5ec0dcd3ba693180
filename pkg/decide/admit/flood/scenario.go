package flood

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/admit"
	"github.com/sesamestream/sesamestream/pkg/decide/admit/baseline"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// The kinds of the workloads.
const (
	Gust        fleet.Kind = "gust"
	Alert       fleet.Kind = "alert"
	Forecast    fleet.Kind = "forecast"
	Certificate fleet.Kind = "certificate"
	Dossier     fleet.Kind = "dossier"
)

// A Scenario multiplies the arrival rates of some kinds.
type Scenario struct {
	Name        string
	RateFactors map[fleet.Kind]float64
}

// Scenarios are the scenarios in which variants are compared.
var Scenarios = []Scenario{
	{Name: "calm"},
	{Name: "floodLeastUrgent", RateFactors: map[fleet.Kind]float64{Dossier: 12}},
	{Name: "floodMostUrgent", RateFactors: map[fleet.Kind]float64{Gust: 25}},
	{Name: "floodBoth", RateFactors: map[fleet.Kind]float64{Dossier: 12, Gust: 25}},
}

// A Variant is a policy combined with a limit algorithm.
type Variant struct {
	Name string
	New  func() admit.Admitter
}

// Variants are the variants that are compared. The first one is the default.
var Variants = []Variant{
	{"fair+aimd", admit.New},
	{"fair+gradient", admitterFactory(newFair, admit.Gradient{})},
	{"fair+fixed", admitterFactory(newFair, admit.Fixed{})},
	{"firstCome+aimd", admitterFactory(newFirstCome, admit.AIMD{})},
	{"firstCome+fixed", admitterFactory(newFirstCome, admit.Fixed{})},
	{"static+aimd", admitterFactory(newStatic, admit.AIMD{})},
	{"static+fixed", admitterFactory(newStatic, admit.Fixed{})},
	{"staticDeadline+aimd", admitterFactory(newStaticDeadline, admit.AIMD{})},
}

func newFair() admit.Policy           { return &admit.Fair{} }
func newFirstCome() admit.Policy      { return baseline.FirstCome{} }
func newStatic() admit.Policy         { return baseline.Static{} }
func newStaticDeadline() admit.Policy { return baseline.Static{EnforceDeadlines: true} }

// admitterFactory returns a constructor of Admitters that use a new policy and l.
func admitterFactory(newPolicy func() admit.Policy, l admit.LimitAlgorithm) func() admit.Admitter {
	return func() admit.Admitter { return admit.NewWith(newPolicy(), l) }
}

// Workloads returns the workloads of the scenario. Without rate factors they use about two
// thirds of a host with 16 processors.
func (s Scenario) Workloads() []Workload {
	workloads := []Workload{
		{Rate: 400, ProcessorTime: 5 * time.Millisecond, Row: requestRow(Gust, 4, 0.2, 0.8, 250*time.Millisecond)},
		{Rate: 40, ProcessorTime: 10 * time.Millisecond, Row: requestRow(Alert, 4, 0.05, 0.5, 500*time.Millisecond)},
		{Rate: 40, ProcessorTime: 60 * time.Millisecond, Row: requestRow(Forecast, 2, 0.2, 1, 2*time.Second)},
		{Rate: 40, ProcessorTime: 40 * time.Millisecond, Row: requestRow(Certificate, 2, 0.15, 1, 3*time.Second)},
		{Rate: 10, ProcessorTime: 400 * time.Millisecond, Row: requestRow(Dossier, 1, 0.25, 0.7, 30*time.Second)},
	}
	for i := range workloads {
		w := &workloads[i]
		w.Row.Urgent = w.Row.Kind == Gust || w.Row.Kind == Alert
		if f, ok := s.RateFactors[w.Row.Kind]; ok {
			w.Rate *= f
		}
	}
	return workloads
}

// requestRow returns a table row of class request.
func requestRow(k fleet.Kind, weight float64, floor, ceiling table.Share, deadline time.Duration) table.Row {
	return table.Row{Kind: k, Class: table.ClassRequest, Weight: weight, Floor: floor, Ceiling: ceiling, Deadline: deadline}
}

// NewSimulation returns a simulation of the scenario with v on a host with 16 processors
// and 64 connections.
func (s Scenario) NewSimulation(v Variant, seed uint64) *Simulation {
	return &Simulation{
		Admitter:    v.New(),
		Workloads:   s.Workloads(),
		Processors:  16,
		Connections: 64,
		WarmUp:      10 * time.Second,
		Measurement: 30 * time.Second,
		CoolDown:    30 * time.Second,
		Seed:        seed,
	}
}
