package local

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/table"
)

// DemoTable returns the operators' table of the demo and of the local deployment.
func DemoTable() table.Table {
	return table.Table{
		Rows: []table.Row{
			{Kind: kindGust, Class: table.ClassRequest, Weight: 8, Floor: 0.4, Ceiling: 1, Deadline: 2 * time.Second, Objective: 300 * time.Millisecond, Target: 0.99, Urgent: true, CrossRegion: true, LinkRate: 200_000},
			{Kind: kindAlert, Class: table.ClassRequest, Weight: 8, Floor: 0.2, Ceiling: 0.8, Deadline: 5 * time.Second, Objective: time.Second, Target: 0.999, Urgent: true, Unrepeatable: true, CrossRegion: true, LinkRate: 100_000},
			{Kind: kindSession, Class: table.ClassRequest, Weight: 1, Floor: 0.1, Ceiling: 0.8, Deadline: 2 * time.Second, Objective: time.Second, Target: 0.95},
			{Kind: kindForecast, Class: table.ClassBatch, Weight: 1, Floor: 0.25, Ceiling: 1, Deadline: 30 * time.Minute},
		},
		Teams: []table.TeamRow{{Team: "forecasters", Weight: 1, Quota: 1}},
	}
}
