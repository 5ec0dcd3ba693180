package batch

import "strings"

// A Config is the configuration that the operators have put in force.
type Config struct {
	Version int64 `json:"version"`
	// Routes are sorted by the length of their prefix, longest first.
	Routes []Route `json:"routes"`
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64 `json:"maxBody"`
}

// A Route maps the requests for a host and path prefix to a queue.
type Route struct {
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	Queue  Queue  `json:"queue"`
}

// FindRoute returns the route of host whose prefix is the longest match for path.
func (c *Config) FindRoute(host, path string) (Route, bool) {
	for _, r := range c.Routes {
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Queues returns the queues of all routes by name.
func (c *Config) Queues() map[string]Queue {
	q := make(map[string]Queue, len(c.Routes))
	for _, r := range c.Routes {
		q[r.Queue.Name] = r.Queue
	}
	return q
}
