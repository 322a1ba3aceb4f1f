package main

import (
	"encoding/json"
	"fmt"
)

type (
	// configuration is the value of the row op/config.
	configuration struct {
		Version      string        `json:"version"`
		Services     []service     `json:"services"`
		Limits       limits        `json:"limits"`
		VirtualHosts []virtualHost `json:"virtual-hosts"`
	}

	// service is a service of the configuration.
	service struct {
		Name           string `json:"name"`
		HealthPath     string `json:"health-path"`
		MaxConnections int    `json:"max-connections"`
		Protocol       string `json:"protocol"`
		TLS            bool   `json:"tls"`
	}

	// limits bounds what requesters send.
	limits struct {
		MaxHeaderBytes  int `json:"max-header-bytes"`
		MaxBodyBytes    int `json:"max-body-bytes"`
		HeaderTimeoutMS int `json:"header-timeout-ms"`
		IdleTimeoutMS   int `json:"idle-timeout-ms"`
	}

	// virtualHost is a host and its routes.
	virtualHost struct {
		Host  string  `json:"host"`
		Paths []route `json:"paths"`
	}

	// route is one route of a host.
	route struct {
		Name            string `json:"name"`
		Prefix          string `json:"prefix"`
		Kind            string `json:"kind"`
		TimeoutMS       int    `json:"timeout-ms"`
		TargetLatencyMS int    `json:"target-latency-ms"`
		Priority        int    `json:"priority"`
		Service         string `json:"service"`
		MaxAttempts     int    `json:"max-attempts"`
	}
)

const (
	// host is the host of all requests.
	host = "hulo84.example"
	// connections is the number of connections that a server takes.
	connections = 130
)

// newConfiguration returns a configuration with the services and routes, and the limits
// of the example that "fleetbench wire" prints.
func newConfiguration(services []string, routes ...route) configuration {
	c := configuration{
		Limits:       limits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		VirtualHosts: []virtualHost{{Host: host, Paths: routes}},
	}
	for _, s := range services {
		c.Services = append(c.Services, service{Name: s, HealthPath: "/healthz", MaxConnections: connections, Protocol: "h1"})
	}
	return c
}

// configure writes a configuration to the store, which acknowledges it.
func (f *fleet) configure(version uint64, c configuration) error {
	c.Version = fmt.Sprintf("%08x", version)
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	f.store.put("op", "config", body)
	f.logf("configuration %s acknowledged: %s", c.Version, body)
	return nil
}
