#include "main/store_events.hpp"

namespace pollenward::main {

operators::event with_revision(
    const operators::event& line, core::store_revision revision)
{
    return line.with("era", revision.get_era().get())
        .with("revision", revision.get_number());
}

namespace {

    operators::event describe_restore(const char* kind,
        core::store_revision from, core::store_revision to, const char* source)
    {
        return with_revision(operators::event::make("store.restored")
                                 .with("kind", kind)
                                 .with("from_era", from.get_era().get())
                                 .with("from_revision", from.get_number()),
            to)
            .with("source", source);
    }

} // namespace

void write_lost(const char* kind, const core::error& cause)
{
    operators::write(operators::event::make("store.lost")
                         .with("kind", kind)
                         .with("cause", cause));
}

store_figures note_merged_era(const store_figures& counted, const char* kind,
    core::store_revision from, core::store_revision to)
{
    const bool is_noted = from == core::store_revision()
        || from.get_era() >= to.get_era() || counted.has_counted(to.get_era());
    if (is_noted)
    {
        return counted;
    }
    operators::write(describe_restore(kind, from, to, "daemon"));
    return counted.after_restore(to.get_era());
}

store_figures note_listed_era(const store_figures& counted, const char* kind,
    core::store_revision from, core::store_revision to,
    core::duration reread_time)
{
    if (counted.has_counted(to.get_era()))
    {
        return counted;
    }
    operators::write(describe_restore(kind, from, to, "store")
                         .with("reread_ms", reread_time));
    return counted.after_restore(to.get_era());
}

void write_era_unstated(const char* kind)
{
    operators::write(
        operators::event::make("store.era_unstated").with("kind", kind));
}

void write_regained(const char* kind)
{
    operators::write(
        operators::event::make("store.regained").with("kind", kind));
}

} // namespace pollenward::main
