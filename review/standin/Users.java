package standin;

import java.io.IOException;
import java.util.Map;

/** Users behind a load balancer: each request goes over a new connection to the next controller that accepts it. */
public final class Users {
    private final Record record;
    private final Controllers controllers;
    private int next = 0;

    public Users(Record record, Controllers controllers) {
        this.record = record;
        this.controllers = controllers;
    }

    private synchronized int turn() {
        return next++ % controllers.names.length;
    }

    /** Sends one request by way of the load balancer; null without an answer. */
    private Http.Answer send(String method, String path, String body, int timeoutMs) {
        for (int tries = 0; tries < 3; tries++) {
            int to = turn();
            try (Http.Client client = new Http.Client(controllers.clientPorts[to])) {
                Http.Answer answer = client.call(method, path, body, timeoutMs);
                record.add("user   " + method + " " + path + " at " + controllers.names[to] + ": " + answer.status() + " " + answer.body());
                return answer;
            } catch (IOException e) {
                record.add("user   " + method + " " + path + " at " + controllers.names[to] + ": " + e.getMessage());
                if (!(e instanceof java.net.ConnectException)) return null;
            }
        }
        return null;
    }

    /** Submits a job, and repeats it as the protocol page says. Returns whether it was accepted. */
    public boolean submit(Jobs.Job job) throws InterruptedException {
        double endAt = record.now() + 60;
        job.submitted = true;
        while (record.now() < endAt) {
            Http.Answer answer = send("POST", "/v1/jobs", Json.text(job.spec), 5000);
            if (answer != null && (answer.status() == 200 || answer.status() == 201)) return true;
            if (answer != null && (answer.status() == 400 || answer.status() == 422)) return false;
            Thread.sleep(1000);
        }
        return false;
    }

    /** Cancels a job, and repeats it until it is answered, for at most 60 s. */
    public boolean abort(Jobs.Job job) throws InterruptedException {
        double endAt = record.now() + 60;
        while (record.now() < endAt) {
            Http.Answer answer = send("POST", "/v1/jobs/" + job.id() + "/abort", "", 5000);
            Map<String, Object> body = answer == null ? null : Json.object(answer.body());
            if (answer != null && answer.status() == 200 && body != null && "withdrawn".equals(body.get("stage"))) {
                job.toldCancelledAt = record.now();
                return true;
            }
            if (answer != null && answer.status() == 200) return false;
            Thread.sleep(1000);
        }
        return false;
    }

    /** The stage of a job; null without an answer. */
    public String stage(Jobs.Job job) {
        Http.Answer answer = send("GET", "/v1/jobs/" + job.id(), null, 2000);
        if (answer == null || answer.status() != 200) return null;
        return (String) Json.object(answer.body()).get("stage");
    }
}
