package settings

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// A settingHelp describes one setting. A setting without a default is required.
type settingHelp struct {
	name         string
	defaultValue string
	description  string
}

// settingsHelp returns the descriptions of all settings.
func settingsHelp() []settingHelp {
	d := Default()
	v := func(x any) string { return fmt.Sprint(x) }
	return []settingHelp{
		{"role", "", "entry or agent"},
		{"id", "", "name of the process; it stays the same across restarts"},
		{"place.region", "", "region of the host"},
		{"place.dataCentre", "", "data centre of the host"},
		{"place.rack", "", "rack of the host"},
		{"peer.listen", "", "address:port for the system's other processes, UDP"},
		{"operator.listen", "", "address:port for operators, TCP with TLS"},
		{"operator.tokenFile", "", "file with the operators' bearer token"},
		{"caller.listen", "", "address:port for callers, TCP; entries only"},
		{"caller.maxBody", v(int64(d.Caller.MaxBody)), "maximum size of a request body, in bytes"},
		{"caller.maxHeader", v(int64(d.Caller.MaxHeader)), "maximum size of the headers of a request, in bytes"},
		{"caller.headerTimeout", v(d.Caller.HeaderTimeout), "time to send the headers, and again the body"},
		{"caller.drain", v(d.Caller.Drain), "bound of a graceful shutdown"},
		{"host.listen", "", "address:port where targets and the worker announce themselves, TCP; agents only"},
		{"store.address", "", "base URL of the platform's store"},
		{"store.tokenFile", "none", "file with the store's access token"},
		{"store.writes", v(d.Store.Writes), "maximum writes per second by this process"},
		{"store.reads", v(d.Store.Reads), "maximum reads and watches per second by this process"},
		{"store.timeout", v(d.Store.Timeout), "maximum duration of a call other than a watch"},
		{"keys.ca", "", "PEM file of the certificate authority"},
		{"keys.certificate", "", "PEM file of the peer's certificate"},
		{"keys.key", "", "PEM file of the private key of the certificate"},
		{"keys.gossip", "", "file with the gossip keys"},
		{"seeds", "none", "addresses of peers through which the process joins the fleet"},
		{"tasks.lease", v(d.Tasks.Lease), "how long a worker runs a task without contact from its owner"},
		{"tasks.rideThrough", v(d.Tasks.RideThrough), "how long owners renew leases after their last contact with the store"},
		{"tasks.shards", v(d.Tasks.Shards), "number of shards; the same for the whole fleet, and never changed"},
		{"log", d.Log, "trace, debug, info, warn or error"},
		{"memoryLimit", v(int64(d.MemoryLimit)), "heap size at which garbage is collected harder, in bytes"},
	}
}

// Help returns the name, the default and the description of every setting, one per line.
func Help() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "Settings with their defaults; paths are relative to the settings file:")
	for _, i := range settingsHelp() {
		value := i.defaultValue
		if value == "" {
			value = "needed"
		}
		_, _ = fmt.Fprintf(w, "  %s\t%s\t%s\n", i.name, value, i.description)
	}
	_ = w.Flush()
	return b.String()
}
