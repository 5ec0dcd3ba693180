package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// The reason for which a gateway gives no answer is shown, and an answer as text and as it came.
func TestWhereShowsTheAnswer(t *testing.T) {
	g := NewWithT(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path != "/where" || r.URL.Query().Get("host") != "h" {
			http.Error(w, "no queue has this host and path", http.StatusNotFound)
			return
		}
		_, _ = w.Write([]byte(`{"refused":true,"retryAfterSeconds":3,"steps":[{"ready":true,"waiting":1,
			"placements":[{"worker":"w1","dataCentre":"d","tasks":2,"score":4,"free":{"cpu":4000},"cold":true}],
			"exclusions":[{"worker":"w2","dataCentre":"e","reason":"evacuated"}]}]}`))
	}))
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	_, err := askWhere(t.Context(), address, "x", "/q/", strings.NewReader("{}"))
	g.Expect(err).To(MatchError(ContainSubstring("no queue has this host and path")))
	p, err := askWhere(t.Context(), address, "h", "/q/", strings.NewReader("{}"))
	g.Expect(err).NotTo(HaveOccurred())
	var out strings.Builder
	g.Expect(printProspect(&out, p)).To(Succeed())
	for _, want := range []string{"retry after 3 s", "w1", "cold", "waits", "evacuated"} {
		g.Expect(out.String()).To(ContainSubstring(want))
	}
}
