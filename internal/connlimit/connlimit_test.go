package connlimit

import "fmt"

// ExampleSelectVictim shows that a connection that never had an answer goes before one that had. A new, recently used or
// busy connection stays.
func ExampleSelectVictim() {
	fmt.Println(SelectVictim([]Conn{{IdleMs: 10}, {IdleMs: 200}, {IdleMs: 5000, Busy: true}, {IdleMs: 1000, Served: true}}))
	fmt.Println(SelectVictim([]Conn{{IdleMs: 9000, Served: true}, {IdleMs: 400}, {IdleMs: 500}}))
	fmt.Println(SelectVictim([]Conn{{IdleMs: 2500, Served: true}, {IdleMs: 9000, Served: true}, {IdleMs: 20}}))
	// Output:
	// -1
	// 2
	// 1
}

// ExampleDivide shows that clients and nodes get equal shares of what is not reserved.
func ExampleDivide() {
	fmt.Println(Divide(256))
	fmt.Println(Divide(1024))
	// Output:
	// 96 96
	// 480 480
}

// ExampleMessageMemory shows that messages get what connections and ids leave of the memory, and a small part of it in any case.
func ExampleMessageMemory() {
	for _, limits := range []struct{ megabytes, descriptors int }{{32, 256}, {32, 1024}, {64, 384}, {192, 1024}} {
		toClients, toNodes := Divide(limits.descriptors)
		fmt.Println(limits, MessageMemory(float64(limits.megabytes), toClients, toNodes)>>10, "KiB")
	}
	// Output:
	// {32 256} 6553 KiB
	// {32 1024} 2048 KiB
	// {64 384} 18227 KiB
	// {192 1024} 62873 KiB
}
