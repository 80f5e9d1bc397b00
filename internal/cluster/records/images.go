package records

// Images is what the store keeps of the machines' images, so that a new leader still schedules
// tasks where their image is. It is a hint: a machine that lost an image fetches it again.
type Images struct {
	Names    []string         `msgpack:"n" json:"n"`
	GB       []float64        `msgpack:"g" json:"g"`
	Machines map[string][]int `msgpack:"m" json:"m"` // indices into Names, the least recently used first
}
