#include "allocation_count.hpp"

#include <atomic>
#include <cstdlib>
#include <new>

#include <malloc.h>

namespace {

std::atomic<std::size_t> bytes_in_use{ 0 };

} // namespace

namespace pollenward::bench {

std::size_t heap_bytes()
{
    return bytes_in_use.load();
}

} // namespace pollenward::bench

void* operator new(std::size_t size)
{
    void* made = std::malloc(size == 0 ? 1 : size);
    if (made == nullptr)
    {
        throw std::bad_alloc();
    }
    bytes_in_use.fetch_add(malloc_usable_size(made), std::memory_order_relaxed);
    return made;
}

void operator delete(void* freed) noexcept
{
    bytes_in_use.fetch_sub(
        malloc_usable_size(freed), std::memory_order_relaxed);
    std::free(freed);
}

void operator delete(void* freed, std::size_t) noexcept
{
    operator delete(freed);
}
