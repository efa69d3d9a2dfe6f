import java.net.http.HttpClient;

/** A user with connections of its own. What it sends and is answered goes into the record. */
final class User {
    private final Platform platform;
    private final String name;
    private HttpClient client = Http.client();
    boolean quiet;

    User(Platform platform, String name) {
        this.platform = platform;
        this.name = name;
    }

    private Http.Answer call(String member, String method, String path, String body, long timeoutMs) {
        double sentAt = Record.seconds();
        Http.Answer answer = Http.call(client, platform.clientPort(member), method, path, body, timeoutMs);
        if (!quiet) Record.add(String.format("%s at %s, sent at %.3f: %s %s%s -> %s", name, member, sentAt, method, path, body == null ? "" : " " + body, answer));
        return answer;
    }

    Http.Answer submit(String member, Jobs.Job job) {
        Http.Answer answer = call(member, "POST", "/v1/jobs", J.write(job.body), 5_000);
        note(job, answer);
        return answer;
    }

    /** Repeats the submission for up to 60 s, as users do; null if it was not answered with a final status. */
    Http.Answer submitUntilAnswered(String member, Jobs.Job job) {
        double until = Record.seconds() + 60;
        while (Record.seconds() < until) {
            Http.Answer answer = submit(member, job);
            if (answer.status() == 200 || answer.status() == 201 || answer.status() == 400 || answer.status() == 422) return answer;
            Http.sleep(1_000);
        }
        return null;
    }

    Http.Answer poll(String member, String id) {
        Http.Answer answer = call(member, "GET", "/v1/jobs/" + id, null, 2_000);
        Jobs.Job job = platform.jobs.jobs.get(id);
        if (job != null) note(job, answer);
        return answer;
    }

    Http.Answer abort(String member, Jobs.Job job) {
        Http.Answer answer = call(member, "POST", "/v1/jobs/" + job.id + "/abort", "", 5_000);
        note(job, answer);
        return answer;
    }

    private void note(Jobs.Job job, Http.Answer answer) {
        if (answer.status() != 200 && answer.status() != 201) return;
        job.accepted = true;
        String stage = answer.stage();
        if (stage.equals("withdrawn") && Double.isNaN(job.cancelledAt)) job.cancelledAt = Record.seconds();
        if (stage.equals("done") && Double.isNaN(job.doneToldAt)) job.doneToldAt = Record.seconds();
    }
}
