// Command galenabridge is the daemon and the operators' command line.
package main

import "fmt"

func main() {
	fmt.Println("galenabridge")
}
