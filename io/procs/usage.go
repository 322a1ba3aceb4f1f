package procs

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// clockTicks is the number of processor time units per second in /proc.
const clockTicks = 100

// Usage is what a node process has used so far.
type Usage struct {
	// CPU is the processor time.
	CPU clock.Millis
	// Resident is the resident memory.
	Resident ident.Bytes
	// ControlSent and ControlReceived are the control bytes.
	ControlSent, ControlReceived ident.Bytes
}

// Usage returns the usage of node i.
func (f *Fleet) Usage(i int) (Usage, error) {
	var u Usage
	pid := f.nodes[i].cmd.Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	// The fields after the command name, which is in parentheses.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const user, system, resident = 11, 12, 21
	u.CPU = clock.Millis(number(fields[user])+number(fields[system])) * clock.Second / clockTicks
	u.Resident = ident.Bytes(number(fields[resident])) * ident.Bytes(os.Getpagesize())
	page, err := f.get(i, "/metrics")
	if err != nil {
		return u, err
	}
	for line := range strings.Lines(string(page)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch {
		case name == "hickoryrail_peer_control_bytes_sent_total":
			u.ControlSent += ident.Bytes(number(value))
		case name == "hickoryrail_peer_control_bytes_received_total":
			u.ControlReceived += ident.Bytes(number(value))
		}
	}
	return u, nil
}

// number parses a number, or returns 0.
func number(text string) float64 {
	n, _ := strconv.ParseFloat(text, 64)
	return n
}
