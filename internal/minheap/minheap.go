// Package minheap provides a generic priority queue on top of container/heap.
package minheap

import (
	"container/heap"
	"slices"
)

// Heap is a priority queue that returns its least item first. It is not safe
// for concurrent use.
type Heap[T any] struct{ items items[T] }

// New returns an empty heap that is ordered by less.
func New[T any](less func(a, b T) bool) Heap[T] {
	return Heap[T]{items: items[T]{less: less}}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items.list) }

// Push adds an item.
func (h *Heap[T]) Push(item T) { heap.Push(&h.items, item) }

// Min returns the least item. The heap must not be empty.
func (h *Heap[T]) Min() T { return h.items.list[0] }

// Pop removes and returns the least item. The heap must not be empty.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.items).(T) }

// ReplaceMin replaces the least item. The heap must not be empty.
func (h *Heap[T]) ReplaceMin(item T) {
	h.items.list[0] = item
	heap.Fix(&h.items, 0)
}

// DeleteFunc removes all items for which drop returns true.
func (h *Heap[T]) DeleteFunc(drop func(T) bool) {
	h.items.list = slices.DeleteFunc(h.items.list, drop)
	heap.Init(&h.items)
}

// items implements heap.Interface.
type items[T any] struct {
	list []T
	less func(a, b T) bool
}

func (s *items[T]) Len() int           { return len(s.list) }
func (s *items[T]) Less(i, j int) bool { return s.less(s.list[i], s.list[j]) }
func (s *items[T]) Swap(i, j int)      { s.list[i], s.list[j] = s.list[j], s.list[i] }

// Push implements heap.Interface.
func (s *items[T]) Push(x any) { s.list = append(s.list, x.(T)) }

// Pop implements heap.Interface. It clears the item's place in the list, so
// that the garbage collector can free what the item refers to.
func (s *items[T]) Pop() any {
	last := len(s.list) - 1
	item := s.list[last]
	var zero T
	s.list[last] = zero
	s.list = s.list[:last]
	return item
}
