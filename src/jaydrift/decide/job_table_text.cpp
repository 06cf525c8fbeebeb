#include <jaydrift/decide/field_reader.hpp>
#include <jaydrift/decide/field_writer.hpp>
#include <jaydrift/decide/job_table.hpp>

namespace jaydrift::decide {

namespace {

/// Returns the finished tasks as pairs of first and last index. That stays
/// short for 10,000 tasks that finish roughly in order.
std::string finished_ranges(batch_job const& job)
{
    field_writer writer;
    std::size_t const count = job.tasks.size();
    for (std::size_t first = 0; first < count; ++first)
    {
        if (job.tasks[first].phase != task_phase::done)
        {
            continue;
        }
        auto last = first;
        while (last + 1 < count
               && job.tasks[last + 1].phase == task_phase::done)
        {
            ++last;
        }
        writer.add(first).add(last);
        first = last;
    }
    return writer.take();
}

void read_finished(batch_job& job, std::string_view ranges)
{
    field_reader reader(ranges);
    while (!reader.empty())
    {
        auto const first = reader.number<std::size_t>();
        auto const last = reader.number<std::size_t>();
        if (first > last || last >= job.tasks.size())
        {
            throw field_error(
                "range of finished tasks is not within the tasks of the job");
        }
        for (auto index = first; index <= last; ++index)
        {
            job.tasks[index].phase = task_phase::done;
        }
    }
}

/// Returns the last ended attempt of the open tasks that were evicted or that
/// failed.
std::string ended_attempts(batch_job const& job)
{
    field_writer writer;
    for (std::size_t index = 0; index < job.tasks.size(); ++index)
    {
        auto const& task = job.tasks[index];
        if (task.phase == task_phase::done || task.ended_attempt == 0)
        {
            continue;
        }
        writer.add(index).add(task.ended_attempt).add(task.failures);
        writer.add(task.checkpoint_ms);
    }
    return writer.take();
}

void read_ended(batch_job& job, std::string_view text)
{
    field_reader reader(text);
    while (!reader.empty())
    {
        auto const index = reader.number<std::size_t>();
        if (index >= job.tasks.size())
        {
            throw field_error(
                "index of an ended attempt is not below the task count");
        }
        auto& task = job.tasks[index];
        task.ended_attempt = reader.number<std::uint32_t>();
        task.attempt = task.ended_attempt;
        task.failures = reader.number<std::uint32_t>();
        task.checkpoint_ms = reader.number<std::int64_t>();
    }
}

void write_job(field_writer& writer, batch_job const& job)
{
    writer.add(encode(submit_record{job.spec, job.priority}));
    writer.add(job.order).add(static_cast<int>(job.cancelled));
    writer.add(job.finished).add(job.evictions).add(job.failure);
    bool const open = !job.closed();
    writer.add(open ? finished_ranges(job) : std::string());
    writer.add(open ? ended_attempts(job) : std::string());
}

batch_job read_job(field_reader& reader)
{
    auto const record = decode_batch_record(reader.text());
    auto const* const submit = std::get_if<submit_record>(&record);
    if (submit == nullptr)
    {
        throw field_error(
            "job in the snapshot does not begin with a submit record");
    }
    batch_job job;
    job.spec = submit->spec;
    job.priority = submit->priority;
    job.order = reader.number<std::uint64_t>();
    job.cancelled = reader.number<int>() != 0;
    job.finished = reader.number<std::uint32_t>();
    job.evictions = reader.number<std::uint32_t>();
    job.failure = reader.text();
    job.tasks.resize(job.closed() ? 0 : job.spec.task_count);
    read_finished(job, reader.text());
    read_ended(job, reader.text());
    return job;
}

} // namespace

std::string encode(job_table const& table)
{
    field_writer writer;
    writer.add(table.last_order).add(table.closed.size());
    for (auto const& id : table.closed)
    {
        writer.add(id);
    }
    for (auto const& [id, job] : table.jobs)
    {
        write_job(writer, job);
    }
    return writer.take();
}

job_table decode_table(std::string_view text)
{
    job_table table;
    if (text.empty())
    {
        return table;
    }
    field_reader reader(text);
    table.last_order = reader.number<std::uint64_t>();
    auto const closed = reader.number<std::size_t>();
    for (std::size_t count = 0; count < closed; ++count)
    {
        table.closed.emplace_back(reader.text());
    }
    while (!reader.empty())
    {
        auto const before = reader.size();
        auto job = read_job(reader);
        job.bytes = before - reader.size();
        table.bytes += job.bytes;
        auto id = job.spec.id;
        table.jobs.emplace(std::move(id), std::move(job));
    }
    return table;
}

} // namespace jaydrift::decide
