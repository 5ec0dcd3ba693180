package table_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

func init() { _ = flag.Set("rapid.seed", "7") }

func drawTable(t *rapid.T) *table.Table {
	n := rapid.IntRange(1, 6).Draw(t, "rows")
	out := &table.Table{}
	for i := range n {
		floor := rapid.Float64Range(0, 1/float64(n)).Draw(t, "floor")
		cross := rapid.Bool().Draw(t, "cross")
		r := table.Row{
			Kind:         fleet.Kind(rapid.StringMatching(`[a-z]{3}`).Draw(t, "kind") + string(rune('a'+i))),
			Class:        rapid.SampledFrom([]table.Class{table.ClassRequest, table.ClassBatch, table.ClassService}).Draw(t, "class"),
			Weight:       rapid.Float64Range(0.001, 100).Draw(t, "weight"),
			Floor:        table.Share(floor),
			Ceiling:      table.Share(rapid.Float64Range(floor, 1).Draw(t, "ceiling")) + 0,
			Deadline:     time.Duration(rapid.Int64Range(1, 1e12).Draw(t, "deadline")),
			Unrepeatable: rapid.Bool().Draw(t, "unrepeatable"),
			CrossRegion:  cross,
		}
		if r.Ceiling == 0 {
			r.Ceiling = 1
		}
		if cross {
			r.LinkRate = fleet.Bytes(rapid.Int64Range(0, 1e9).Draw(t, "linkRate"))
		}
		out.Rows = append(out.Rows, r)
	}
	out.Revision = table.Revision(rapid.Uint64().Draw(t, "revision"))
	out.Teams = []table.TeamRow{{Team: "school", Weight: 1, Quota: 0.5}}
	return out
}

func TestTableRoundTripsThroughYAMLAndCSV(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		want := drawTable(t)
		y, err := want.YAML()
		g.Expect(err).NotTo(HaveOccurred())
		got, err := table.ParseYAML(y)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(want))
		c, err := want.CSV()
		g.Expect(err).NotTo(HaveOccurred())
		got, err = table.ParseCSV(c)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(want))
	})
}

const validRow = "kinds:\n- kind: gust\n  class: request\n  weight: 1\n  floor: 0.2\n  ceiling: 1\n  deadline: 1s\n"

func TestYAMLProblemsHaveLineAndColumn(t *testing.T) {
	for _, c := range []struct{ name, yaml, want string }{
		{"unknown field", validRow + "  flor: 2\n", `8:3: unknown field "flor"`},
		{"duplicate row", validRow + validRow[7:], `8:9: $.kinds[1].kind: duplicate row of kind "gust"`},
		{"ceiling under floor", "kinds:\n- kind: gust\n  class: batch\n  weight: 1\n  floor: 0.5\n  ceiling: 0.2\n", "6:12: $.kinds[0].ceiling: ceiling 0.2 is under floor 0.5"},
		{"sum of floors", validRow + "- kind: tide\n  class: request\n  weight: 1\n  floor: 0.9\n  ceiling: 1\n  deadline: 1s\n", "2:1: $.kinds: floors of requests add up to 1.1"},
		{"not a number", "kinds:\n- kind: gust\n  weight: heavy\n", "3:11:"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := table.ParseYAML([]byte(c.yaml))
			g.Expect(err).To(MatchError(table.ErrInvalid))
			g.Expect(err.Error()).To(ContainSubstring(c.want))
		})
	}
}

func TestCSVProblemsHaveLineAndColumn(t *testing.T) {
	for _, c := range []struct{ name, csv, want string }{
		{"unknown column", "row,name,wait\n", `1:10: unknown column "wait"`},
		{"bad share", "row,name,class,weight,floor,ceiling\nkind,gust,batch,1,much,1\n", `2:19: floor: "much" is not a share`},
		{"duplicate", "row,name,class,weight,ceiling\nkind,a,batch,1,100%\nkind,a,batch,1,1\n", "3:1: $.kinds[1].kind: duplicate row"},
		{"team deadline", "row,name,weight,ceiling,deadline\nteam,a,1,1,5s\n", "2:12: deadline: a team has no deadline"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := table.ParseCSV([]byte(c.csv))
			g.Expect(err).To(MatchError(table.ErrInvalid))
			g.Expect(err.Error()).To(ContainSubstring(c.want))
		})
	}
}

func FuzzParseCSV(f *testing.F) {
	f.Add([]byte("row,name,class,weight,ceiling\nkind,a,batch,1,100%\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := table.ParseCSV(data)
		if err == nil {
			NewWithT(t).Expect(got.Check()).To(Succeed())
		}
	})
}

func FuzzParseYAML(f *testing.F) {
	f.Add([]byte(validRow))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := table.ParseYAML(data)
		if err == nil {
			NewWithT(t).Expect(got.Check()).To(Succeed())
		}
	})
}
