package roster

import "slices"

// loadLevels are the loads that are told apart in lists of loads, in sixteenths of a request.
var loadLevels = [16]uint16{0, 2, 4, 8, 12, 16, 20, 24, 32, 40, 48, 64, 96, 128, 192, 256}

// loadLevel returns the highest level that a load reaches.
func loadLevel(load uint16) byte {
	at, exact := slices.BinarySearch(loadLevels[:], load)
	if !exact {
		at--
	}
	return byte(at)
}

// PackLoads encodes loads, in sixteenths of a request, in the form of Answer.Loads.
func PackLoads(loads []uint16) []byte {
	packed := make([]byte, (len(loads)+1)/2)
	for i, load := range loads {
		packed[i/2] |= loadLevel(load) << (4 * (i % 2))
	}
	return packed
}

// unpackLoad returns load number i of packed loads, in sixteenths of a request.
func unpackLoad(packed []byte, i int) uint16 { return loadLevels[packed[i/2]>>(4*(i%2))&15] }
