package cluster

// DependencyRecord is a part of a long list of dependencies, stored in a key of its own.
type DependencyRecord struct {
	Dependencies []string `msgpack:"n" json:"n"`
}
