package settings

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// An item describes one setting.
type item struct {
	name  string
	value string
	text  string
}

// items describe every setting; one without a default has to be given.
func items() []item {
	d := Default()
	v := func(x any) string { return fmt.Sprint(x) }
	return []item{
		{"role", "", "entry or agent"},
		{"id", "", "name of the process, the same over restarts"},
		{"place.region", "", "region of the host"},
		{"place.dataCentre", "", "data centre of the host"},
		{"place.rack", "", "rack of the host"},
		{"peer.listen", "", "address:port for the system's other processes, UDP"},
		{"operator.listen", "", "address:port for operators, TCP with TLS"},
		{"operator.tokenFile", "", "file with the operators' bearer token"},
		{"caller.listen", "", "address:port for callers, TCP; entries only"},
		{"caller.maxBody", v(int64(d.Caller.MaxBody)), "bound of one request's body, in bytes"},
		{"caller.maxHeader", v(int64(d.Caller.MaxHeader)), "bound of one request's headers, in bytes"},
		{"caller.headerTimeout", v(d.Caller.HeaderTimeout), "time to send the headers, and again the body"},
		{"caller.drain", v(d.Caller.Drain), "bound of a graceful shutdown"},
		{"host.listen", "", "address:port where targets and the worker announce themselves, TCP; agents only"},
		{"store.address", "", "base URL of the platform's store"},
		{"store.tokenFile", "none", "file with the store's access token"},
		{"store.writes", v(d.Store.Writes), "writes a second this process may ask for"},
		{"store.reads", v(d.Store.Reads), "reads and watches a second this process may ask for"},
		{"store.timeout", v(d.Store.Timeout), "bound of one call other than a watch"},
		{"keys.ca", "", "PEM file of the authority"},
		{"keys.certificate", "", "PEM file of the peer's certificate"},
		{"keys.key", "", "PEM file of its key"},
		{"keys.gossip", "", "file with the gossip keys"},
		{"seeds", "none", "peer addresses to join by"},
		{"tasks.lease", v(d.Tasks.Lease), "how long a worker runs a task without word from its owner"},
		{"tasks.rideThrough", v(d.Tasks.RideThrough), "how long owners renew leases without the store"},
		{"tasks.shards", v(d.Tasks.Shards), "number of shards, the same in the whole fleet for good"},
		{"log", d.Log, "trace, debug, info, warn or error"},
		{"memoryLimit", v(int64(d.MemoryLimit)), "heap size at which garbage is collected harder, in bytes"},
	}
}

// Help returns every setting with its default and its meaning, one a line.
func Help() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "Settings, with their defaults; files are named relative to the settings:")
	for _, i := range items() {
		value := i.value
		if value == "" {
			value = "needed"
		}
		_, _ = fmt.Fprintf(w, "  %s\t%s\t%s\n", i.name, value, i.text)
	}
	_ = w.Flush()
	return b.String()
}
