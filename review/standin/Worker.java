package standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A worker of the protocol page: reports to one controller at a time, runs tasks, and obeys tokens and its lease. */
public final class Worker {
    /** The most that a request's body may hold. */
    private static final int MAX_BODY_BYTES = 64 * 1024;

    private static final class Task {
        final String piece;
        final long sowing;
        final Jobs.Job job;
        String stage = "pulling";
        String cause;
        boolean onMachine = false;
        double runsFrom;

        Task(String piece, long sowing, Jobs.Job job) {
            this.piece = piece;
            this.sowing = sowing;
            this.job = job;
        }
    }

    private final Record record;
    private final Jobs jobs;
    private final String id;
    private final Cloud.Type type;
    private final String field;
    private final boolean gleaning;
    private final double reportS;
    private final double leaseS;
    private final int[] controllers;
    private final String[] names;
    private final Random random;
    private final int port;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    /** Images that are here, and the time at which each that is being fetched will be. */
    private final Map<String, Double> images = new HashMap<>();
    private long season = 1;
    private long tally = 0;
    private long staff = 0;
    private double sessionFrom;
    private double lastAnsweredSent = -1;
    private boolean changed = true;
    private double tokenChangeAt = -100;
    private boolean running = true;
    private int leasesLost = 0;

    public Worker(Record record, Jobs jobs, String id, Cloud.Type type, String field, boolean gleaning, double reportS, double leaseS, String[] names,
            int[] controllers) throws IOException {
        this.record = record;
        this.jobs = jobs;
        this.id = id;
        this.type = type;
        this.field = field;
        this.gleaning = gleaning;
        this.reportS = reportS;
        this.leaseS = leaseS;
        this.names = names;
        this.controllers = controllers;
        random = new Random(id.hashCode());
        sessionFrom = record.now();
        port = Http.serve(this::direct);
        Http.run(this::report);
        Http.run(this::live);
    }

    public String address() {
        return "127.0.0.1:" + port;
    }

    /** The highest token that the worker has seen. */
    public synchronized long staff() {
        return staff;
    }

    public synchronized int leasesLost() {
        return leasesLost;
    }

    /** Ends the worker with all its tasks. */
    public synchronized void stop(String why) {
        running = false;
        killAll(why);
        notifyAll();
    }

    private void killAll(String why) {
        for (Task task : tasks.values()) leave(task, why);
        tasks.clear();
    }

    private void leave(Task task, String why) {
        if (task.onMachine) jobs.ended(task.piece, task.sowing, id, why);
        task.onMachine = false;
    }

    // ---- tasks ----

    private void live() {
        while (true) {
            synchronized (this) {
                if (!running) return;
                double now = record.now();
                if (now - Math.max(sessionFrom, lastAnsweredSent) > leaseS) {
                    record.add("worker " + id + ": lease expired, season " + (season + 1));
                    killAll("lease expired");
                    leasesLost++;
                    season++;
                    sessionFrom = now;
                    lastAnsweredSent = -1;
                    change();
                }
                for (Task task : tasks.values()) step(task, now);
            }
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void step(Task task, double now) {
        if (task.stage.equals("pulling") && images.getOrDefault(image(task), Double.MAX_VALUE) <= now) {
            task.stage = "running";
            task.runsFrom = now;
            task.onMachine = true;
            jobs.started(task.piece, task.sowing, id);
            change();
        } else if (task.stage.equals("running") && task.job.failS > 0 && now - task.runsFrom > task.job.failS) {
            end(task, "error");
        } else if (task.stage.equals("running") && !task.job.isService() && task.job.failS <= 0 && now - task.runsFrom > task.job.runS) {
            end(task, "done");
        }
    }

    private static String image(Task task) {
        return (String) task.job.spec.get("seedbag");
    }

    private void end(Task task, String cause) {
        task.stage = "ended";
        task.cause = cause;
        leave(task, cause);
        change();
    }

    private void change() {
        changed = true;
        notifyAll();
    }

    private void execute(List<Map<String, Object>> orders, String how) {
        for (Map<String, Object> order : orders) {
            String piece = (String) order.get("piece");
            long sowing = Json.number(order.get("sowing"));
            Task task = tasks.get(piece + "#" + sowing);
            record.add("order  " + id + " " + order.get("verb") + " " + piece + " attempt " + sowing + " " + how);
            switch ((String) order.get("verb")) {
                case "run" -> {
                    if (task == null) start(piece, sowing);
                }
                case "halt" -> {
                    if (task != null && !task.stage.equals("ended")) end(task, "stopped");
                }
                case "clear" -> {
                    if (task != null && task.stage.equals("ended")) {
                        tasks.remove(piece + "#" + sowing);
                        change();
                    }
                }
                default -> {
                }
            }
        }
    }

    private void start(String piece, long sowing) {
        int slash = piece.lastIndexOf('/');
        Jobs.Job job = jobs.get(piece.substring(0, slash));
        Task task = new Task(piece, sowing, job);
        String refusal = null;
        if (job == null || !job.submitted || Long.parseLong(piece.substring(slash + 1)) >= Json.number(job.spec.get("pieces"))) refusal = "no_such";
        double cpus = 0;
        double memoryGb = 0;
        for (Task other : tasks.values()) {
            if (other.stage.equals("ended")) continue;
            if (other.piece.equals(piece)) refusal = "in_use";
            cpus += other.job.cpus();
            memoryGb += Json.decimal(other.job.spec.get("memoryGb"));
        }
        if (refusal == null && (cpus + job.cpus() > type.vcpus() + 1e-6 || memoryGb + Json.decimal(job.spec.get("memoryGb")) > type.memoryGb() + 1e-6)) refusal = "no_room";
        tasks.put(piece + "#" + sowing, task);
        change();
        if (refusal != null) {
            task.stage = "ended";
            task.cause = refusal;
            record.add("worker " + id + " refuses " + piece + " attempt " + sowing + ": " + refusal);
            return;
        }
        images.putIfAbsent(image(task), record.now() + Json.decimal(job.spec.get("sizeGb")) / type.fetchGbPerS());
    }

    // ---- messages ----

    private String body() {
        List<Object> pieces = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> piece = Json.of("piece", task.piece, "sowing", task.sowing, "stage", task.stage);
            if (task.cause != null) piece.put("cause", task.cause);
            pieces.add(piece);
        }
        return Json.text(Json.of("plot", id, "address", address(), "breed", type.sku(), "field", field, "gleaning", gleaning, "season", season, "tally", ++tally,
            "staff", staff, "reclaimS", null, "pieces", pieces));
    }

    private synchronized Http.Answer direct(String method, String path, String query, String body) {
        if (!running) return new Http.Answer(503, "{}");
        if (path.equals("/status")) return new Http.Answer(200, body());
        Map<String, Object> request = Json.object(body);
        if (!path.equals("/commands") || request == null || request.get("staff") == null || request.get("season") == null) return new Http.Answer(400, "{}");
        long token = Json.number(request.get("staff"));
        if (token < staff || Json.number(request.get("season")) != season) return new Http.Answer(409, body());
        see(token);
        execute(Json.objects(request.get("orders")), "direct, token " + token);
        return new Http.Answer(200, body());
    }

    private void see(long token) {
        if (token <= staff) return;
        staff = token;
        if (record.now() - tokenChangeAt < leaseS / 2) return;
        tokenChangeAt = record.now();
        change();
    }

    private void report() {
        int at = Math.abs(id.hashCode()) % controllers.length;
        Http.Client client = new Http.Client(controllers[at]);
        while (true) {
            String body;
            long sentSeason;
            double sentAt;
            synchronized (this) {
                if (!running) break;
                body = body();
                sentSeason = season;
                sentAt = record.now();
                changed = false;
            }
            if (body.length() > MAX_BODY_BYTES) {
                // The worker has no other message: it waits until its report fits, or its lease ends.
                record.add("worker " + id + " cannot report: its report would have " + body.length() + " bytes");
                pause(sentAt);
                continue;
            }
            int next = -1;
            double pauseS = 1.0;
            try {
                Http.Answer answer = client.call("POST", "/checkin", body, 4000);
                if (answer.status() == 200) {
                    next = at;
                    receive(Json.object(answer.body()), sentSeason, sentAt);
                } else if (answer.status() == 421) {
                    Object steward = Json.object(answer.body()).get("steward");
                    for (int i = 0; i < names.length; i++) if (names[i].equals(steward) && i != at) next = i;
                    if (next >= 0) pauseS = random.nextDouble() * 0.5;
                }
            } catch (IOException e) {
                // The worker tries the next controller.
            }
            if (next == at) {
                pause(sentAt);
                continue;
            }
            at = next >= 0 ? next : (at + 1) % controllers.length;
            client.close();
            client = new Http.Client(controllers[at]);
            try {
                Thread.sleep((long) (pauseS * 1000));
            } catch (InterruptedException e) {
                return;
            }
        }
        client.close();
    }

    /** Waits for the next report: after a report interval, or on a change half a second after the last one at the earliest. */
    private synchronized void pause(double sentAt) {
        double dueAt = sentAt + reportS * (0.75 + random.nextDouble() * 0.5);
        try {
            while (running) {
                double now = record.now();
                double until = changed ? sentAt + 0.5 : dueAt;
                if (now >= until) return;
                wait(Math.max(1, (long) ((until - now) * 1000)));
            }
        } catch (InterruptedException e) {
            running = false;
        }
    }

    private synchronized void receive(Map<String, Object> response, long sentSeason, double sentAt) {
        if (response == null || response.get("staff") == null || sentSeason != season || record.now() - sentAt > 4.0) return;
        long token = Json.number(response.get("staff"));
        if (token < staff) return;
        lastAnsweredSent = sentAt;
        see(token);
        execute(Json.objects(response.get("orders")), "with the answer to a report, token " + token);
    }

    /** The tasks here that have not ended. */
    public synchronized Set<String> pieces() {
        Set<String> pieces = new HashSet<>();
        for (Task task : tasks.values()) if (!task.stage.equals("ended")) pieces.add(task.piece);
        return pieces;
    }
}
