package batch

import "strings"

// A Config is the operators' configuration in force.
type Config struct {
	Version int64 `json:"version"`
	// Routes are ordered by the length of their prefix, longest first.
	Routes []Route `json:"routes"`
	// MaxBody bounds a request's body in bytes.
	MaxBody int64 `json:"maxBody"`
}

// A Route sends the requests of a host and prefix to a queue.
type Route struct {
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	Queue  Queue  `json:"queue"`
}

// FindRoute returns the route of host with the longest prefix of path.
func (c *Config) FindRoute(host, path string) (Route, bool) {
	for _, r := range c.Routes {
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Queues returns the queues by name.
func (c *Config) Queues() map[string]Queue {
	q := make(map[string]Queue, len(c.Routes))
	for _, r := range c.Routes {
		q[r.Queue.Name] = r.Queue
	}
	return q
}
