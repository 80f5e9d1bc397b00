package cluster

// DependencyRecord is one part of a long list of dependencies. Each part is stored under its own
// key.
type DependencyRecord struct {
	Dependencies []string `msgpack:"n" json:"n"`
}
