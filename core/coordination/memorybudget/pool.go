package memorybudget

import (
	"math"
	"sync"
	"time"
)

// Pool bounds the memory of work that is refused at its start if there is no room, and is never ended to make room. It is safe for concurrent
// use. The exported fields must be set before its methods are called.
type Pool struct {
	Bytes      int64 // bound of all reservations together
	SmallBytes int64 // size up to which a reservation is small
	LargeBytes int64 // bound of all reservations together that are not small

	mutex  sync.Mutex
	budget Budget
}

// Reservation is memory of a pool. A nil Reservation is one without a bound.
type Reservation struct {
	pool    *Pool
	holding Holding
}

// Reserve reserves bytes, if there is room.
func (pool *Pool) Reserve(bytes int64) (reservation *Reservation, ok bool) {
	if pool == nil {
		return nil, true
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	budget := &pool.budget
	budget.Bytes, budget.SmallBytes, budget.LargeBytes, budget.MaxHoldings = pool.Bytes, pool.SmallBytes, pool.LargeBytes, math.MaxInt
	reservation, now := &Reservation{pool: pool}, time.Time{}
	if budget.Open(&reservation.holding, 0, now) != Granted {
		return nil, false
	}
	budget.SetState(&reservation.holding, Serving, now)
	if budget.Resize(&reservation.holding, bytes, now) != Granted {
		budget.Release(&reservation.holding)
		return nil, false
	}
	return reservation, true
}

// Resize changes the size of a reservation, if there is room.
func (reservation *Reservation) Resize(bytes int64) (ok bool) {
	if reservation == nil {
		return true
	}
	reservation.pool.mutex.Lock()
	defer reservation.pool.mutex.Unlock()
	return reservation.pool.budget.Resize(&reservation.holding, bytes, time.Time{}) == Granted
}

// Release ends a reservation.
func (reservation *Reservation) Release() {
	if reservation == nil {
		return
	}
	reservation.pool.mutex.Lock()
	defer reservation.pool.mutex.Unlock()
	reservation.pool.budget.Release(&reservation.holding)
}

// Used returns the bytes of all reservations and their number.
func (pool *Pool) Used() (bytes int64, reservations int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.budget.Used()
}
