package flood

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/admit"
	"github.com/sesamestream/sesamestream/pkg/decide/admit/baseline"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// The kinds of the scenarios.
const (
	Gust        fleet.Kind = "gust"
	Alert       fleet.Kind = "alert"
	Forecast    fleet.Kind = "forecast"
	Certificate fleet.Kind = "certificate"
	Dossier     fleet.Kind = "dossier"
)

// A Scenario multiplies the rates of some kinds.
type Scenario struct {
	Name        string
	RateFactors map[fleet.Kind]float64
}

// Scenarios are the floods that policies are compared in.
var Scenarios = []Scenario{
	{Name: "calm"},
	{Name: "floodLeastUrgent", RateFactors: map[fleet.Kind]float64{Dossier: 12}},
	{Name: "floodMostUrgent", RateFactors: map[fleet.Kind]float64{Gust: 25}},
	{Name: "floodBoth", RateFactors: map[fleet.Kind]float64{Dossier: 12, Gust: 25}},
}

// A Variant is a policy with the law of its limit.
type Variant struct {
	Name string
	New  func() admit.Admitter
}

// Variants are the policies that are compared; the first is the product's.
var Variants = []Variant{
	{"fair+aimd", admit.New},
	{"fair+gradient", with(fair, admit.Gradient{})},
	{"fair+fixed", with(fair, admit.Fixed{})},
	{"firstCome+aimd", with(firstCome, admit.AIMD{})},
	{"firstCome+fixed", with(firstCome, admit.Fixed{})},
	{"static+aimd", with(static, admit.AIMD{})},
	{"static+fixed", with(static, admit.Fixed{})},
	{"staticDeadline+aimd", with(staticDeadline, admit.AIMD{})},
}

func fair() admit.Policy           { return &admit.Fair{} }
func firstCome() admit.Policy      { return baseline.FirstCome{} }
func static() admit.Policy         { return baseline.Static{} }
func staticDeadline() admit.Policy { return baseline.Static{EnforceDeadlines: true} }

// with returns a constructor of admitters that pick by a new policy.
func with(p func() admit.Policy, l admit.LimitAlgorithm) func() admit.Admitter {
	return func() admit.Admitter { return admit.NewWith(p(), l) }
}

// Workloads returns the kinds of a calm day, which use about two thirds of a host
// with 16 processors, with the rates multiplied as s says.
func (s Scenario) Workloads() []Workload {
	kinds := []Workload{
		{Rate: 400, ProcessorTime: 5 * time.Millisecond, Row: row(Gust, 4, 0.2, 0.8, 250*time.Millisecond)},
		{Rate: 40, ProcessorTime: 10 * time.Millisecond, Row: row(Alert, 4, 0.05, 0.5, 500*time.Millisecond)},
		{Rate: 40, ProcessorTime: 60 * time.Millisecond, Row: row(Forecast, 2, 0.2, 1, 2*time.Second)},
		{Rate: 40, ProcessorTime: 40 * time.Millisecond, Row: row(Certificate, 2, 0.15, 1, 3*time.Second)},
		{Rate: 10, ProcessorTime: 400 * time.Millisecond, Row: row(Dossier, 1, 0.25, 0.7, 30*time.Second)},
	}
	for i := range kinds {
		k := &kinds[i]
		k.Row.Urgent = k.Row.Kind == Gust || k.Row.Kind == Alert
		if f, ok := s.RateFactors[k.Row.Kind]; ok {
			k.Rate *= f
		}
	}
	return kinds
}

// row returns the row of a kind of requests.
func row(k fleet.Kind, weight float64, floor, ceiling table.Share, deadline time.Duration) table.Row {
	return table.Row{Kind: k, Class: table.ClassRequest, Weight: weight, Floor: floor, Ceiling: ceiling, Deadline: deadline}
}

// NewSimulation returns the experiment of s under c on one host with 16 processors and 64
// connections.
func (s Scenario) NewSimulation(c Variant, seed uint64) *Simulation {
	return &Simulation{
		Admitter:    c.New(),
		Workloads:   s.Workloads(),
		Processors:  16,
		Connections: 64,
		WarmUp:      10 * time.Second,
		Measurement: 30 * time.Second,
		CoolDown:    30 * time.Second,
		Seed:        seed,
	}
}
