import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A machine with its worker: reports, leases, tokens, sessions, commands and tasks as the protocol says. */
final class Worker {
    private static final class Task {
        final String piece;
        final long sowing;
        String stage;
        String cause;
        boolean kept;
        boolean fails;
        /** Time at which the present stage ends by itself. */
        long until;

        Task(String piece, long sowing, String stage, long until) {
            this.piece = piece;
            this.sowing = sowing;
            this.stage = stage;
            this.until = until;
        }
    }

    final String id;
    final String breed;
    final String field;
    final boolean gleaning;
    final double vcpus;
    final double memoryGb;
    final long bornAt = System.nanoTime();
    private final Platform platform;
    private final Jobs jobs;
    private final Random random;
    private final HttpClient client = Http.client();
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private final Set<String> finished = new HashSet<>();
    final int port;
    private long season = 1;
    private long tally;
    private long staff;
    private long leaseFrom = System.nanoTime();
    private boolean changed;
    private int controller;
    volatile boolean alive = true;
    /** The worker hears no answers and commands, while its reports arrive. */
    volatile boolean deaf;
    /** The worker cannot be reached and reaches nobody; its tasks go on. */
    volatile boolean cut;
    /** The machine hangs: nothing runs. */
    volatile boolean hangs;
    /** The machine fails every task that it starts. */
    volatile boolean sick;

    Worker(Platform platform, Jobs jobs, String id, String breed, String field, boolean gleaning, double vcpus, double memoryGb) {
        this.platform = platform;
        this.jobs = jobs;
        this.id = id;
        this.breed = breed;
        this.field = field;
        this.gleaning = gleaning;
        this.vcpus = vcpus;
        this.memoryGb = memoryGb;
        random = new Random(id.hashCode());
        controller = random.nextInt(platform.members.size());
        port = Http.serve(this::handle);
        Thread reports = new Thread(this::reports, id);
        reports.setDaemon(true);
        reports.start();
        Thread steps = new Thread(this::steps, id + " tasks");
        steps.setDaemon(true);
        steps.start();
    }

    /** The machine is gone with all that is on it. */
    synchronized void die(String why) {
        alive = false;
        for (Task task : tasks.values()) leave(task, why);
        tasks.clear();
    }

    private void leave(Task task, String why) {
        if (task.stage.equals("running") || task.stage.equals("saving")) jobs.ended(this, task.piece, task.sowing, why);
    }

    private void steps() {
        while (alive) {
            Http.sleep(25);
            synchronized (this) {
                if (alive && hangs) expire();
                else if (alive) step();
            }
        }
    }

    /** Ends the tasks of a lease that is over. The tasks of a machine that hangs end then too, since it may resume within its lease only. */
    private void expire() {
        long now = System.nanoTime();
        if (now - leaseFrom > (long) (platform.leaseS * 1e9)) {
            for (Task task : tasks.values()) leave(task, "killed: lease of season " + season + " over");
            tasks.clear();
            season++;
            leaseFrom = now;
            changed = true;
        }
    }

    private void step() {
        expire();
        long now = System.nanoTime();
        for (Task task : tasks.values()) {
            if (task.stage.equals("ended") || now < task.until) continue;
            switch (task.stage) {
                case "pulling" -> begin(task, now);
                case "running" -> end(task, task.fails ? "error" : "done", false);
                case "saving" -> end(task, "stopped", true);
                default -> { }
            }
        }
    }

    private void begin(Task task, long now) {
        Jobs.Job job = jobs.jobs.get(jobOf(task.piece));
        images.add((String) job.body.get("seedbag"));
        if (finished.contains(task.piece)) {
            task.stage = "ended";
            task.cause = "done";
            changed = true;
            return;
        }
        task.stage = "running";
        task.fails = sick;
        if (task.fails) task.until = now + 300_000_000L;
        else task.until = job.standing() ? Long.MAX_VALUE : now + (long) (job.runS(Integer.parseInt(task.piece.substring(task.piece.indexOf('/') + 1))) * 1e9);
        changed = true;
        jobs.started(this, task.piece, task.sowing);
    }

    private void end(Task task, String cause, boolean kept) {
        leave(task, cause);
        task.stage = "ended";
        task.cause = cause;
        task.kept = kept;
        changed = true;
        if (cause.equals("done")) finished.add(task.piece);
    }

    private static String jobOf(String piece) {
        return piece.substring(0, piece.indexOf('/'));
    }

    private Map<String, Object> report() {
        tally++;
        List<Object> pieces = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> piece = J.of("piece", task.piece, "sowing", task.sowing, "stage", task.stage);
            if (task.cause != null) piece.put("cause", task.cause);
            if (task.kept) piece.put("kept", true);
            pieces.add(piece);
        }
        return J.of("plot", id, "address", Http.LOOPBACK + ":" + port, "breed", breed, "field", field, "gleaning", gleaning, "season", season,
            "tally", tally, "staff", staff, "reclaimS", null, "pieces", pieces);
    }

    private void execute(List<Object> orders) {
        for (Object item : orders) {
            Map<String, Object> order = J.map(item);
            String piece = (String) order.get("piece");
            long sowing = J.num(order.get("sowing"));
            Record.add(id + " does " + J.write(order));
            switch ((String) order.get("verb")) {
                case "run" -> run(piece, sowing);
                case "halt" -> halt(piece, sowing, J.dbl(order.get("graceS")));
                case "clear" -> {
                    Task task = tasks.get(piece);
                    if (task != null && task.sowing == sowing && task.stage.equals("ended")) {
                        tasks.remove(piece);
                        changed = true;
                    }
                }
                default -> { }
            }
        }
    }

    private void run(String piece, long sowing) {
        Task known = tasks.get(piece);
        if (known != null && known.sowing == sowing) return;
        changed = true;
        Jobs.Job job = jobs.jobs.get(jobOf(piece));
        String refusal = job == null || Integer.parseInt(piece.substring(piece.indexOf('/') + 1)) >= job.pieces() ? "no_such" : null;
        if (refusal == null && known != null && !known.stage.equals("ended")) refusal = "in_use";
        if (refusal == null) {
            double cpus = J.dbl(job.body.get("vcpus"));
            double memory = J.dbl(job.body.get("memoryGb"));
            for (Task task : tasks.values()) {
                if (task.stage.equals("ended")) continue;
                Jobs.Job other = jobs.jobs.get(jobOf(task.piece));
                cpus += J.dbl(other.body.get("vcpus"));
                memory += J.dbl(other.body.get("memoryGb"));
            }
            if (cpus > vcpus + 1e-6 || memory > memoryGb + 1e-6) refusal = "no_room";
        }
        if (refusal != null) {
            // An attempt of the same task that is on the machine stays in the reports.
            if (known == null) {
                Task refused = new Task(piece, sowing, "ended", 0);
                refused.cause = refusal;
                tasks.put(piece, refused);
            }
            Record.add(id + " refuses " + piece + ": " + refusal);
            return;
        }
        boolean hasImage = images.contains((String) job.body.get("seedbag"));
        long fetch = hasImage ? 0 : (long) (J.dbl(job.body.get("sizeGb")) / platform.fetchGbPerS * 1e9);
        tasks.put(piece, new Task(piece, sowing, "pulling", System.nanoTime() + fetch));
        step();
    }

    private void halt(String piece, long sowing, double graceS) {
        Task task = tasks.get(piece);
        if (task == null || task.sowing != sowing || task.stage.equals("ended")) return;
        Jobs.Job job = jobs.jobs.get(jobOf(piece));
        double baleS = J.dbl(job.body.get("baleS"));
        boolean saves = task.stage.equals("running") && J.dbl(job.body.get("harvestS")) > 0 && graceS >= baleS;
        if (task.stage.equals("saving") && graceS > 0) return;
        if (saves) {
            task.stage = "saving";
            task.until = System.nanoTime() + (long) (baleS * 1e9);
            changed = true;
        } else {
            end(task, "stopped", false);
        }
    }

    /** Commands sent straight to the worker, and questions. */
    private Http.Answer handle(String method, String path, String query, String body) {
        while ((hangs || cut || deaf) && alive) Http.sleep(20);
        if (!alive) return Http.Answer.NONE;
        synchronized (this) {
            step();
            if (path.equals("/status")) return new Http.Answer(200, J.write(report()));
            Map<String, Object> request = J.map(J.parse(body));
            if (!request.containsKey("staff") || !request.containsKey("season")) return new Http.Answer(400, "{}");
            long token = J.num(request.get("staff"));
            if (token < staff || J.num(request.get("season")) != season) return new Http.Answer(409, J.write(report()));
            staff = token;
            execute(J.list(request.get("orders")));
            return new Http.Answer(200, J.write(report()));
        }
    }

    private void reports() {
        Http.sleep(random.nextInt((int) (platform.reportS * 1000)));
        long lastAt = System.nanoTime();
        while (alive) {
            long interval = (long) (platform.reportS * 1e9 * (0.75 + random.nextDouble() * 0.5));
            while (alive && System.nanoTime() - lastAt < interval && !(changed && System.nanoTime() - lastAt > 500_000_000L)) Http.sleep(20);
            while (hangs && alive) Http.sleep(20);
            if (!alive) return;
            lastAt = System.nanoTime();
            Http.sleep(send());
        }
    }

    /** Sends one report; returns the milliseconds to wait before the next one. */
    private long send() {
        long sentAt;
        long sentSeason;
        String body;
        synchronized (this) {
            step();
            changed = false;
            sentAt = System.nanoTime();
            sentSeason = season;
            body = J.write(report());
        }
        if (cut) {
            Http.sleep(4_000);
            controller = (controller + 1) % platform.members.size();
            return 1_000;
        }
        Http.Answer answer = Http.call(client, platform.clientPort(platform.members.get(controller)), "POST", "/checkin", body, 4_000);
        while (hangs && alive) Http.sleep(20);
        if (deaf || cut) answer = Http.Answer.NONE;
        if (answer.status() == 421) {
            Object steward = answer.json().get("steward");
            int index = steward == null ? -1 : platform.members.indexOf(steward);
            if (index >= 0 && index != controller) {
                controller = index;
                return 0;
            }
        }
        if (answer.status() != 200 || (System.nanoTime() - sentAt) > 4_000_000_000L) {
            controller = (controller + 1) % platform.members.size();
            return 1_000;
        }
        Map<String, Object> response = answer.json();
        synchronized (this) {
            if (!alive) return 0;
            step();
            long token = J.num(response.get("staff"));
            if (season != sentSeason || !response.containsKey("staff") || token < staff) return 0;
            staff = token;
            leaseFrom = Math.max(leaseFrom, sentAt);
            execute(J.list(response.get("orders")));
        }
        return 0;
    }
}
