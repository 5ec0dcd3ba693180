package tables_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/consul"
	"github.com/sesamestream/sesamestream/internal/consul/standin"
	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/internal/tables"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

func row(k fleet.Kind, weight float64) table.Row {
	return table.Row{Kind: k, Class: table.ClassBatch, Weight: weight, Ceiling: 1}
}

func TestConcurrentEditsAcceptExactlyOne(t *testing.T) {
	g := NewWithT(t)
	s := &standin.Server{}
	h := httptest.NewServer(s)
	defer h.Close()
	x := &tables.Tables{Store: &consul.Client{Address: h.URL}}
	_, err := x.Accept(t.Context(), 0, table.Table{Rows: []table.Row{row("dossier", 1)}}, "first")
	g.Expect(err).NotTo(HaveOccurred())

	const editors = 8
	var wg sync.WaitGroup
	errs := make([]error, editors)
	for i := range editors {
		wg.Go(func() {
			_, errs[i] = x.Accept(context.Background(), 1, table.Table{Rows: []table.Row{row("dossier", float64(i+2))}}, "editor")
		})
	}
	wg.Wait()
	won := 0
	for _, err := range errs {
		if err == nil {
			won++
			continue
		}
		g.Expect(err).To(MatchError(tables.ErrConflict))
		var c *tables.Conflict
		g.Expect(errors.As(err, &c)).To(BeTrue())
		g.Expect(c.Mine.Rows[0].Weight).NotTo(Equal(c.Theirs.Table.Rows[0].Weight))
	}
	g.Expect(won).To(Equal(1))
	v, err := x.Current(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(v.Table.Revision).To(Equal(table.Revision(2)))
}

// A record of another writer in the list of versions hides none of them. Before, one that
// couldn't be read made each process that started stay without a table.
func TestOddRecordsHideNoVersion(t *testing.T) {
	for name, c := range map[string]struct{ key, value string }{
		"nested too deeply":          {"table/revision/00000000000000000000", strings.Repeat("[", 20000)},
		"number too large":           {"table/revision/00000000000000000000", `{"table":{"revision":1e400}}`},
		"key that is no revision":    {"table/revision/odd", `{"table":{"revision":2}}`},
		"revision that is too large": {"table/revision/99999999999999999999", "{}"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := httptest.NewServer(&standin.Server{})
			defer h.Close()
			invalid := 0
			client := &consul.Client{Address: h.URL}
			x := &tables.Tables{Store: client, OnInvalid: func(error) { invalid++ }}
			v, err := x.Accept(t.Context(), 0, table.Table{Rows: []table.Row{row("dossier", 1)}}, "editor")
			g.Expect(err).NotTo(HaveOccurred())
			_, _, err = client.CAS(t.Context(), c.key, []byte(c.value), 0)
			g.Expect(err).NotTo(HaveOccurred())
			got, err := x.Current(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got.ID).To(Equal(v.ID))
			g.Expect(invalid).To(Equal(1))
			_, err = x.Accept(t.Context(), 1, table.Table{Rows: []table.Row{row("dossier", 2)}}, "editor")
			g.Expect(err).NotTo(HaveOccurred())
		})
	}
}

func TestEditWithLostAnswerIsAccepted(t *testing.T) {
	g := NewWithT(t)
	s := &standin.Server{}
	h := httptest.NewServer(s)
	defer h.Close()
	x := &tables.Tables{Store: &answerLosingStore{Store: &consul.Client{Address: h.URL}, server: s}}
	v, err := x.Accept(t.Context(), 0, table.Table{Rows: []table.Row{row("dossier", 1)}}, "first")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(v.Table.Revision).To(Equal(table.Revision(1)))
	_, err = x.Accept(t.Context(), 0, table.Table{Rows: []table.Row{row("dossier", 2)}}, "late")
	g.Expect(err).To(MatchError(tables.ErrConflict))
}

// An answerLosingStore loses the answer to each write after the write has taken effect.
type answerLosingStore struct {
	store.Store
	server *standin.Server
}

func (l *answerLosingStore) CAS(ctx context.Context, key string, value []byte, index uint64, guards ...store.Guard) (store.Pair, bool, error) {
	_ = l.server.SetFault(standin.Fault{Mode: standin.LoseAnswers})
	defer func() { _ = l.server.SetFault(standin.Fault{Mode: standin.Up}) }()
	return l.Store.CAS(ctx, key, value, index, guards...)
}
