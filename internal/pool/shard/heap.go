package shard

import "container/heap"

// notInHeap is the position of an item that is in no heap.
const notInHeap = -1

// positioned is an item that stores its position in a heap.
type positioned interface {
	position() *int
}

// indexHeap is a heap that can remove any item, because each item stores its position.
type indexHeap[T positioned] struct {
	items items[T]
}

func newIndexHeap[T positioned](less func(a, b T) bool) indexHeap[T] {
	return indexHeap[T]{items[T]{less: less}}
}

func (h *indexHeap[T]) len() int { return len(h.items.list) }

// first returns the smallest item. The heap must not be empty.
func (h *indexHeap[T]) first() T { return h.items.list[0] }

// all returns the items in no particular order.
func (h *indexHeap[T]) all() []T { return h.items.list }

func (h *indexHeap[T]) push(item T)   { heap.Push(&h.items, item) }
func (h *indexHeap[T]) remove(item T) { heap.Remove(&h.items, *item.position()) }

// fix restores the heap order after an item has changed.
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
	*item.position() = notInHeap
	return item
}
