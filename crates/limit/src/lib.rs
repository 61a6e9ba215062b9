//! Admission, wait queues, retry budgets and probe budgets.
