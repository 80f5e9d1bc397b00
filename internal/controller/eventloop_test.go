package controller

// testEvent is an event that a test posts to read or change state owned by the loop's goroutine.
type testEvent func()

// Apply calls the function.
func (e testEvent) Apply() { e() }

// post queues a function to run on the loop's goroutine; it does not wait for it.
func (l *controlLoop) post(event func()) { l.loop.Post(testEvent(event)) }
