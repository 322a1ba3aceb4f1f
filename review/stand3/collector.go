package main

import (
	"os"
	"os/exec"
)

// collector is a process that reads the log of a node.
type collector struct {
	cmd *exec.Cmd
	// input is what the node writes to.
	input *os.File
}

// startCollector starts a collector that copies what it reads to a file.
func startCollector(path string) (*collector, error) {
	output, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	defer output.Close()
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer r.Close()
	c := &collector{cmd: exec.Command("cat"), input: w}
	c.cmd.Stdin, c.cmd.Stdout = r, output
	return c, c.cmd.Start()
}

// end ends the collector.
func (c *collector) end() {
	_ = c.input.Close()
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}
