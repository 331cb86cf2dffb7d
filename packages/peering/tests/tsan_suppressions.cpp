/// libzmq is not built with ThreadSanitizer, which therefore does not see the atomic operations of
/// its queues and reports malloc and free on both sides of one. Only calls made from inside that
/// library are exempt. ThreadSanitizer looks the function up by this name.
extern "C" const char* __tsan_default_suppressions() // NOLINT
{
  return "called_from_lib:libzmq.so\n";
}
