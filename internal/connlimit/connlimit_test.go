package connlimit

import "fmt"

// Who never asked goes before who has; who has just come, just served or is busy stays.
func ExampleEvict() {
	fmt.Println(Evict([]Conn{{Since: 10}, {Since: 200}, {Since: 5000, Busy: true}, {Since: 1000, Served: true}}))
	fmt.Println(Evict([]Conn{{Since: 9000, Served: true}, {Since: 400}, {Since: 500}}))
	fmt.Println(Evict([]Conn{{Since: 2500, Served: true}, {Since: 9000, Served: true}, {Since: 20}}))
	// Output:
	// -1
	// 2
	// 1
}

func ExampleDivide() {
	fmt.Println(Divide(256))
	fmt.Println(Divide(1024))
	// Output:
	// 96 96
	// 480 480
}
