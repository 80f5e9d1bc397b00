package records

// Images records the images on machines, so that a new leader still places tasks on machines that
// have their image. It is only a hint: a machine without the image fetches it again.
type Images struct {
	Names    []string         `msgpack:"n" json:"n"`
	GB       []float64        `msgpack:"g" json:"g"`
	Machines map[string][]int `msgpack:"m" json:"m"` // indices into Names, least recently used first
}
