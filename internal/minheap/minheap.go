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

func (it *items[T]) Len() int           { return len(it.list) }
func (it *items[T]) Less(i, j int) bool { return it.less(it.list[i], it.list[j]) }
func (it *items[T]) Swap(i, j int)      { it.list[i], it.list[j] = it.list[j], it.list[i] }

// Push implements heap.Interface.
func (it *items[T]) Push(x any) { it.list = append(it.list, x.(T)) }

// Pop implements heap.Interface. It clears the item's place in the list, so
// that the garbage collector can free what the item refers to.
func (it *items[T]) Pop() any {
	last := len(it.list) - 1
	item := it.list[last]
	var zero T
	it.list[last] = zero
	it.list = it.list[:last]
	return item
}
