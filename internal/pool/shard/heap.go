package shard

import "container/heap"

// notQueued is the position of an item that is in no heap.
const notQueued = -1

// positioned is an item that keeps its position in a heap.
type positioned interface {
	position() *int
}

// indexHeap is a heap from which any item can be removed, because each knows its position.
type indexHeap[T positioned] struct {
	items items[T]
}

func newIndexHeap[T positioned](less func(a, b T) bool) indexHeap[T] {
	return indexHeap[T]{items[T]{less: less}}
}

func (h *indexHeap[T]) len() int { return len(h.items.list) }

// first returns the least item; the heap must not be empty.
func (h *indexHeap[T]) first() T { return h.items.list[0] }

// all returns the items in no particular order.
func (h *indexHeap[T]) all() []T { return h.items.list }

func (h *indexHeap[T]) push(item T)   { heap.Push(&h.items, item) }
func (h *indexHeap[T]) remove(item T) { heap.Remove(&h.items, *item.position()) }

// fix restores the order after a change of the item.
func (h *indexHeap[T]) fix(item T) { heap.Fix(&h.items, *item.position()) }

// items implements heap.Interface.
type items[T positioned] struct {
	list []T
	less func(a, b T) bool
}

// Len implements heap.Interface.
func (s *items[T]) Len() int { return len(s.list) }

// Less implements heap.Interface.
func (s *items[T]) Less(i, j int) bool { return s.less(s.list[i], s.list[j]) }

// Swap implements heap.Interface.
func (s *items[T]) Swap(i, j int) {
	s.list[i], s.list[j] = s.list[j], s.list[i]
	*s.list[i].position() = i
	*s.list[j].position() = j
}

// Push implements heap.Interface.
func (s *items[T]) Push(x any) {
	item := x.(T)
	*item.position() = len(s.list)
	s.list = append(s.list, item)
}

// Pop implements heap.Interface.
func (s *items[T]) Pop() any {
	last := len(s.list) - 1
	item := s.list[last]
	var none T
	s.list[last] = none
	s.list = s.list[:last]
	*item.position() = notQueued
	return item
}
