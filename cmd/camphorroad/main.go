// Command camphorroad is the proxy daemon and its operators' tool.
package main

func main() {}
