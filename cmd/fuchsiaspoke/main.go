// Command fuchsiaspoke runs the serving layer and its tools.
package main

func main() {}
