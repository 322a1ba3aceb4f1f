// Package kernel provides the micro-kernel of a node: services register under a
// name, find each other by it, and are started and stopped in order.
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
		// Start makes the service ready and returns without blocking. The
		// service may find the services that were registered before it.
		Start(ctx context.Context, k *Kernel) error
		// Stop ends the service gracefully, within the life of ctx.
		Stop(ctx context.Context) error
	}

	// Kernel holds the services of one node. Registration, Start and Stop belong
	// to one goroutine; Find is safe once Start has returned.
	Kernel struct {
		// order lists the names in registration order; each is a key of services.
		order    []Name
		services map[Name]Service
		// started counts the services of order that are running.
		started int
	}
)

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{services: make(map[Name]Service)}
}

// Register adds a service. It returns an error if the name is taken or the
// kernel is running.
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

// Find returns the service with that name as a T. It returns an error if there
// is none or if it is of another type.
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

// Start starts the services in registration order. After a failure it stops
// those that run and returns the error.
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
