//! The original functions of the C library, looked up with `dlsym` at their first use.

use std::ffi::CStr;
use std::sync::atomic::{AtomicPtr, Ordering};

use libc::{
    c_int, c_void, clockid_t, epoll_event, iovec, msghdr, size_t, sockaddr, socklen_t, ssize_t, timespec,
};

/// Returns the address of a function from `cache`, or looks the address up and stores it in `cache`.
fn resolve(name: &CStr, cache: &AtomicPtr<c_void>) -> *mut c_void {
    let cached = cache.load(Ordering::Relaxed);
    if !cached.is_null() {
        return cached;
    }
    // SAFETY: the name is a C string.
    let address = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    assert!(!address.is_null(), "the C library has no {name:?}");
    cache.store(address, Ordering::Relaxed);
    address
}

/// Defines, for each function of the C library, a function of the same name that returns the original.
macro_rules! real {
    ($($name:ident: fn($($type:ty),*) -> $result:ty;)*) => {$(
        pub(crate) fn $name() -> unsafe extern "C" fn($($type),*) -> $result {
            static ADDRESS: AtomicPtr<c_void> = AtomicPtr::new(std::ptr::null_mut());
            const NAME: &str = concat!(stringify!($name), "\0");
            let name = CStr::from_bytes_with_nul(NAME.as_bytes()).expect("one NUL at the end");
            let address = resolve(name, &ADDRESS);
            // SAFETY: the function of this name has this signature.
            unsafe { std::mem::transmute::<*mut c_void, unsafe extern "C" fn($($type),*) -> $result>(address) }
        }
    )*};
}

real! {
    recv: fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    send: fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    read: fn(c_int, *mut c_void, size_t) -> ssize_t;
    write: fn(c_int, *const c_void, size_t) -> ssize_t;
    recvfrom: fn(c_int, *mut c_void, size_t, c_int, *mut sockaddr, *mut socklen_t) -> ssize_t;
    sendto: fn(c_int, *const c_void, size_t, c_int, *const sockaddr, socklen_t) -> ssize_t;
    readv: fn(c_int, *const iovec, c_int) -> ssize_t;
    writev: fn(c_int, *const iovec, c_int) -> ssize_t;
    recvmsg: fn(c_int, *mut msghdr, c_int) -> ssize_t;
    sendmsg: fn(c_int, *const msghdr, c_int) -> ssize_t;
    accept: fn(c_int, *mut sockaddr, *mut socklen_t) -> c_int;
    accept4: fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    connect: fn(c_int, *const sockaddr, socklen_t) -> c_int;
    socket: fn(c_int, c_int, c_int) -> c_int;
    epoll_wait: fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;
    clock_gettime: fn(clockid_t, *mut timespec) -> c_int;
}
