/// libzmq is not built with ThreadSanitizer. ThreadSanitizer therefore does not see the atomic
/// operations of the libzmq queues and reports races between malloc and free in two threads that
/// share a queue. Only calls made from inside libzmq are suppressed. The ThreadSanitizer runtime
/// requires this function name.
extern "C" const char* __tsan_default_suppressions() // NOLINT
{
  return "called_from_lib:libzmq.so\n";
}
