package page

import (
	"bytes"
	"encoding/xml"
	"io"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/burn"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// externalReference matches references to resources outside the page.
var externalReference = regexp.MustCompile(`(?i)(src=|href="[^#]|url\(|@import|https?:|<script)`)

// TestPage checks that the page loads no external resources and escapes names of
// kinds, that its charts are well-formed XML, that a partial report is marked as
// such, and that missing counts are shown as no data.
func TestPage(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	r := burn.Recorder{Since: now.Add(-time.Hour)}
	for i := range 400 {
		at := now.Add(-time.Duration(i) * 9 * time.Second)
		r.RecordOutcome(at, "gust", fleet.Answered, time.Duration(400-i)*time.Millisecond, 300*time.Millisecond)
		r.RecordOutcome(at, `<b>"x`, fleet.NotRun, 0, 0)
	}
	rows := &table.Table{Rows: []table.Row{
		{Kind: "gust", Class: table.ClassRequest, Target: 0.99, Objective: 300 * time.Millisecond},
		{Kind: "idle", Class: table.ClassRequest, Target: 0.99, Objective: time.Second},
	}}
	q, err := burn.NewQuery(burn.DefaultAlerts(), time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	p := burn.Assemble(now, burn.DefaultAlerts(), q, rows, r.Snapshot(now, q))
	p.Partial = true
	p.Processes = []burn.Process{{ID: "mui-ne-1", Error: "silent"}, {ID: "mui-ne-2"}}
	var b bytes.Buffer
	g.Expect(Write(&b, p)).To(Succeed())
	out := b.String()
	g.Expect(externalReference.FindString(out)).To(BeEmpty())
	g.Expect(out).NotTo(Or(ContainSubstring("<b>\"x"), ContainSubstring("NaN"), ContainSubstring("ZgotmplZ")))
	g.Expect(out).To(ContainSubstring("1 of 2 processes did not answer"))
	g.Expect(out).To(ContainSubstring("gust, page: late answers"))
	idle := out[strings.Index(out, `<section id="idle">`):strings.Index(out, "<h2>Processes</h2>")]
	g.Expect(strings.Count(idle, ">no data</text>")).To(Equal(4))
	g.Expect(idle).NotTo(Or(ContainSubstring("0.00"), ContainSubstring("quiet")))

	p.Kinds = p.Kinds[slices.IndexFunc(p.Kinds, func(k burn.KindReport) bool { return k.Kind == "idle" }):]
	b.Reset()
	g.Expect(Write(&b, p)).To(Succeed())
	g.Expect(b.String()).To(ContainSubstring("Nothing was counted"))
	g.Expect(b.String()).NotTo(ContainSubstring("No alert fires"))
	for _, svg := range regexp.MustCompile(`(?s)<svg.*?</svg>`).FindAllString(out, -1) {
		d := xml.NewDecoder(strings.NewReader(svg))
		for err = error(nil); err == nil; {
			_, err = d.Token()
		}
		g.Expect(err).To(Equal(io.EOF))
	}
}
