package controller

// testEvent is an event of a test: it looks at what the loop's goroutine owns, or changes it.
type testEvent func()

// Apply runs it.
func (e testEvent) Apply() { e() }

// post has the loop run a test's event.
func (l *controlLoop) post(event func()) { l.loop.Post(testEvent(event)) }
