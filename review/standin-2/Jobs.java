import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The jobs as their users see them, the descriptions that workers fetch, and the rules, checked at each start and answer. */
final class Jobs {
    static final class Job {
        final String id;
        final Map<String, Object> body;
        /** Run time of each task in seconds. */
        final double runS;
        /** Run time of a task in seconds by its number and the seconds since the start of the case; null: all take [runS]. */
        volatile java.util.function.DoubleBinaryOperator runsFor;
        volatile boolean accepted;
        /** Seconds at which a user was told that the job is cancelled, or NaN. */
        volatile double cancelledAt = Double.NaN;
        volatile double doneToldAt = Double.NaN;
        final Set<Integer> done = ConcurrentHashMap.newKeySet();

        Job(Map<String, Object> body, double runS) {
            this.id = (String) body.get("id");
            this.body = body;
            this.runS = runS;
        }

        double runS(int index) {
            return runsFor == null ? runS : runsFor.applyAsDouble(index, Record.seconds());
        }

        int pieces() {
            return (int) J.num(body.get("pieces"));
        }

        boolean standing() {
            return "standing".equals(body.get("shape"));
        }

        List<Object> awaits() {
            return J.list(body.get("awaits"));
        }
    }

    /** A task on a machine. */
    record Placed(Worker worker, String piece, long sowing) {}

    final Map<String, Job> jobs = new ConcurrentHashMap<>();
    /** Limits in CPUs of the teams, 0 for none. */
    final Map<String, Double> cpusMax = new HashMap<>();
    private final List<Placed> placed = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();
    private final Set<String> reported = new HashSet<>();
    final double cancelS;
    int starts;

    Jobs(double cancelS) {
        this.cancelS = cancelS;
    }

    /** The body of a submission. */
    static Map<String, Object> sweep(String id, String crew, String bench, int pieces, double growS) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("id", id);
        body.put("bench", bench);
        body.put("crew", crew);
        body.put("shape", "sweep");
        body.put("urgency", "normal");
        body.put("pieces", (long) pieces);
        body.put("vcpus", 1.0);
        body.put("cards", 0.0);
        body.put("memoryGb", 2.0);
        body.put("seedbag", "img-01");
        body.put("sizeGb", 0.1);
        body.put("breeds", null);
        body.put("field", null);
        body.put("samePlace", false);
        body.put("spread", false);
        body.put("gleaning", true);
        body.put("growS", growS);
        body.put("harvestS", 0.0);
        body.put("baleS", 0.0);
        body.put("dueS", null);
        return body;
    }

    static Map<String, Object> standing(String id, String crew, String bench, int pieces) {
        Map<String, Object> body = sweep(id, crew, bench, pieces, 0.0);
        body.put("shape", "standing");
        body.put("urgency", "high");
        body.put("gleaning", false);
        return body;
    }

    Job add(Map<String, Object> body, double runS) {
        Job job = new Job(body, runS);
        jobs.put(job.id, job);
        return job;
    }

    synchronized void breakRule(String rule, String text) {
        String line = "BROKEN " + rule + ": " + text;
        if (!reported.add(line)) return;
        broken.add(line);
        Record.say(line);
    }

    synchronized List<String> broken() {
        return new ArrayList<>(broken);
    }

    private static String jobOf(String piece) {
        return piece.substring(0, piece.indexOf('/'));
    }

    /** A task has its image and starts on a machine. */
    synchronized void started(Worker worker, String piece, long sowing) {
        starts++;
        Record.add("start " + piece + " sowing " + sowing + " on " + worker.id);
        Job job = jobs.get(jobOf(piece));
        for (Placed other : placed) if (other.piece.equals(piece)) breakRule("ran_twice", piece + " starts on " + worker.id + " while it is on " + other.worker.id);
        placed.add(new Placed(worker, piece, sowing));
        if (job == null) return;
        for (Object before : job.awaits()) {
            Job predecessor = jobs.get((String) before);
            if (predecessor == null || predecessor.done.size() < predecessor.pieces()) breakRule("too_early", piece + " starts before " + before + " is done");
        }
        if (Record.seconds() > job.cancelledAt + cancelS) breakRule("ran_cancelled", piece + " starts " + (Record.seconds() - job.cancelledAt) + " s after its user was told");
        checkPlace(job, piece, worker);
        checkQuota((String) job.body.get("crew"));
    }

    private void checkPlace(Job job, String piece, Worker worker) {
        Object breeds = job.body.get("breeds");
        if (breeds != null && !J.list(breeds).contains(worker.breed)) breakRule("wrong_place", piece + " on type " + worker.breed);
        Object field = job.body.get("field");
        if (field != null && !field.equals(worker.field)) breakRule("wrong_place", piece + " in zone " + worker.field);
        if (worker.gleaning && !Boolean.TRUE.equals(job.body.get("gleaning"))) breakRule("wrong_place", piece + " on spot machine " + worker.id);
        Map<String, Integer> byZone = new HashMap<>();
        for (Placed other : placed) if (jobOf(other.piece).equals(job.id)) byZone.merge(other.worker.field, 1, Integer::sum);
        if (Boolean.TRUE.equals(job.body.get("samePlace")) && byZone.size() > 1) breakRule("wrong_place", piece + " of a job for one zone, now in " + byZone);
        if (Boolean.TRUE.equals(job.body.get("spread")) && byZone.get(worker.field) > (job.pieces() + 1) / 2) breakRule("wrong_place", piece + " of a spread job, now in " + byZone);
    }

    private void checkQuota(String crew) {
        double limit = cpusMax.getOrDefault(crew, 0.0);
        if (limit <= 0) return;
        double used = 0;
        for (Placed task : placed) {
            Job job = jobs.get(jobOf(task.piece));
            if (job != null && crew.equals(job.body.get("crew"))) used += J.dbl(job.body.get("vcpus"));
        }
        if (used > limit + 1e-6) breakRule("quota", crew + " uses " + used + " of " + limit + " CPUs");
    }

    /** A task leaves its machine. */
    synchronized void ended(Worker worker, String piece, long sowing, String why) {
        Record.add("end " + piece + " sowing " + sowing + " on " + worker.id + ": " + why);
        placed.removeIf(task -> task.worker == worker && task.piece.equals(piece) && task.sowing == sowing);
        Job job = jobs.get(jobOf(piece));
        if (job != null && why.equals("done")) job.done.add(Integer.parseInt(piece.substring(piece.indexOf('/') + 1)));
    }

    synchronized int running(String job) {
        int count = 0;
        for (Placed task : placed) if (jobOf(task.piece).equals(job)) count++;
        return count;
    }

    /** CPUs of the tasks on a machine. */
    synchronized double cpusOn(Worker worker) {
        double used = 0;
        for (Placed task : placed) if (task.worker == worker) used += J.dbl(jobs.get(jobOf(task.piece)).body.get("vcpus"));
        return used;
    }

    /** To be called about once a second. */
    synchronized void checkTime() {
        for (Placed task : placed) {
            Job job = jobs.get(jobOf(task.piece));
            if (job != null && Record.seconds() > job.cancelledAt + cancelS) breakRule("ran_cancelled", task.piece + " is on " + task.worker.id + " more than " + cancelS + " s after its user was told");
        }
    }
}
