// Package kernel provides the micro-kernel of a node: services register under a
// name, look each other up by name, and are started and stopped in order.
package kernel

import (
	"context"
	"errors"
	"fmt"
)

type (
	// Name identifies a service in the kernel.
	Name string

	// Service is a part of a node that the kernel starts and stops.
	Service interface {
		// Start makes the service ready and returns without blocking. It may look
		// up the services that were registered before this one.
		Start(ctx context.Context, k *Kernel) error
		// Stop shuts the service down gracefully before ctx ends.
		Stop(ctx context.Context) error
	}

	// Kernel holds the services of one node. Register, Start and Stop must be called
	// from one goroutine; Find is safe for concurrent use once Start has returned.
	Kernel struct {
		// order lists the names in registration order; each is a key of services.
		order    []Name
		services map[Name]Service
		// started is the number of running services, the first ones of order.
		started int
	}
)

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{services: make(map[Name]Service)}
}

// Register adds a service. It returns an error if the name is in use or services are
// running.
func (k *Kernel) Register(name Name, s Service) error {
	if k.started > 0 {
		return fmt.Errorf("kernel: cannot register %q while services run", name)
	}
	if _, taken := k.services[name]; taken {
		return fmt.Errorf("kernel: service %q is registered already", name)
	}
	k.services[name] = s
	k.order = append(k.order, name)
	return nil
}

// Find returns the service with that name as a T. It returns an error if there is no
// such service or if it is of another type.
func Find[T any](k *Kernel, name Name) (T, error) {
	var none T
	s, ok := k.services[name]
	if !ok {
		return none, fmt.Errorf("kernel: no service %q", name)
	}
	t, ok := s.(T)
	if !ok {
		return none, fmt.Errorf("kernel: service %q is a %T", name, s)
	}
	return t, nil
}

// Start starts the services in registration order. If one fails to start, it stops
// the running services and returns the error.
func (k *Kernel) Start(ctx context.Context) error {
	for _, name := range k.order {
		if err := k.services[name].Start(ctx, k); err != nil {
			failure := fmt.Errorf("start %s: %w", name, err)
			return errors.Join(failure, k.Stop(ctx))
		}
		k.started++
	}
	return nil
}

// Stop stops the running services in reverse order and returns all errors.
func (k *Kernel) Stop(ctx context.Context) error {
	var failures []error
	for k.started > 0 {
		k.started--
		name := k.order[k.started]
		if err := k.services[name].Stop(ctx); err != nil {
			failures = append(failures, fmt.Errorf("stop %s: %w", name, err))
		}
	}
	return errors.Join(failures...)
}
