package standin;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What the users uploaded, and where tasks are. Checks the rules `quota`, `ran_twice` and `ran_cancelled` as the protocol page states them. */
public final class Jobs {
    /** A job as its user described it, and how its tasks behave. */
    public static final class Job {
        public final Map<String, Object> spec;
        /** Seconds that a task runs until it is done; a service runs on. */
        public final double runS;
        /** Seconds after which each task fails; 0 for a sound job. */
        public final double failS;
        public volatile boolean submitted = false;
        /** When its user was told that it is cancelled; negative until then. */
        public volatile double toldCancelledAt = -1;

        Job(Map<String, Object> spec, double runS, double failS) {
            this.spec = spec;
            this.runS = runS;
            this.failS = failS;
        }

        public String id() {
            return (String) spec.get("id");
        }

        public double cpus() {
            return Json.decimal(spec.get("vcpus"));
        }

        public boolean isService() {
            return "standing".equals(spec.get("shape"));
        }
    }

    private final Record record;
    private final double cancelS;
    private final Map<String, Double> limits;
    private final Map<String, Job> jobs = new HashMap<>();
    /** Machines by task, of the tasks that are on a machine. */
    private final Map<String, Set<String>> onMachine = new HashMap<>();
    private final Map<String, Double> usage = new TreeMap<>();
    private final Map<String, Double> most = new TreeMap<>();
    private final Map<String, Integer> broken = new LinkedHashMap<>();
    private final Set<String> reported = new HashSet<>();
    private final Set<String> done = new HashSet<>();
    private final Map<String, Integer> lost = new HashMap<>();

    /** [limits] holds the most CPUs of each team, [cancelS] the time within which the tasks of a cancelled job must be gone. */
    public Jobs(Record record, Map<String, Double> limits, double cancelS) {
        this.record = record;
        this.limits = limits;
        this.cancelS = cancelS;
    }

    /** The user uploads a job's description. */
    public synchronized Job upload(String id, String team, String bench, String shape, String urgency, int pieces, double vcpus, double memoryGb,
            String image, double sizeGb, List<String> breeds, double growS, double runS, double failS) {
        Map<String, Object> spec = Json.of("id", id, "bench", bench, "crew", team, "shape", shape, "urgency", urgency, "pieces", pieces,
            "vcpus", vcpus, "cards", 0.0, "memoryGb", memoryGb, "seedbag", image, "sizeGb", sizeGb, "breeds", breeds, "field", null,
            "samePlace", false, "spread", false, "gleaning", false, "growS", growS, "harvestS", 0.0, "baleS", 0.0, "dueS", null);
        Job job = new Job(spec, runS, failS);
        jobs.put(id, job);
        return job;
    }

    public synchronized Job get(String id) {
        return jobs.get(id);
    }

    private void breakRule(String rule, String what) {
        broken.merge(rule, 1, Integer::sum);
        if (reported.add(rule + what) && broken.get(rule) <= 20) record.say("RULE BROKEN " + rule + ": " + what);
    }

    /** A task is on its machine: it has its image. */
    public synchronized void started(String piece, long sowing, String machine) {
        Job job = jobs.get(piece.substring(0, piece.lastIndexOf('/')));
        String team = (String) job.spec.get("crew");
        Set<String> machines = onMachine.computeIfAbsent(piece, k -> new HashSet<>());
        if (!machines.isEmpty() && !machines.contains(machine)) breakRule("ran_twice", piece + " starts on " + machine + " while it is on " + machines);
        machines.add(machine);
        double used = usage.merge(team, job.cpus(), Double::sum);
        most.merge(team, used, Math::max);
        record.add("run    " + machine + " starts " + piece + " attempt " + sowing + "; " + team + " uses " + used + " CPUs");
        double limit = limits.getOrDefault(team, 0.0);
        if (limit > 0 && used > limit + 1e-6) breakRule("quota", team + " uses " + used + " CPUs, its limit is " + limit + " (" + piece + " started on " + machine + ")");
        if (job.toldCancelledAt >= 0 && record.now() - job.toldCancelledAt > cancelS) {
            breakRule("ran_cancelled", piece + " starts on " + machine + " more than " + cancelS + " s after its user was told");
        }
    }

    /** A task has left its machine. */
    public synchronized void ended(String piece, long sowing, String machine, String why) {
        Job job = jobs.get(piece.substring(0, piece.lastIndexOf('/')));
        Set<String> machines = onMachine.get(piece);
        if (machines == null || !machines.remove(machine)) return;
        if (why.equals("done")) done.add(piece);
        if (why.equals("lease expired")) lost.merge(piece, 1, Integer::sum);
        double used = usage.merge((String) job.spec.get("crew"), -job.cpus(), Double::sum);
        record.add("run    " + machine + " ends " + piece + " attempt " + sowing + ": " + why + "; " + job.spec.get("crew") + " uses " + used + " CPUs");
    }

    /** Looks for tasks of cancelled jobs that are still on a machine. To be called often. */
    public synchronized void check() {
        for (Map.Entry<String, Set<String>> e : onMachine.entrySet()) {
            if (e.getValue().isEmpty()) continue;
            Job job = jobs.get(e.getKey().substring(0, e.getKey().lastIndexOf('/')));
            if (job.toldCancelledAt < 0 || record.now() - job.toldCancelledAt <= cancelS) continue;
            breakRule("ran_cancelled", e.getKey() + " is on " + e.getValue() + " more than " + cancelS + " s after its user was told that it is cancelled");
        }
    }

    /** Number of tasks of a job that are done. */
    public synchronized int done(String id) {
        return (int) done.stream().filter(piece -> piece.startsWith(id + "/")).count();
    }

    /** Number of tasks of a job that were killed by their lease at least [times] times and are not done. */
    public synchronized int lost(String id, int times) {
        return (int) lost.entrySet().stream().filter(e -> e.getKey().startsWith(id + "/") && e.getValue() >= times && !done.contains(e.getKey())).count();
    }

    /** Notes that a rule was broken that the case itself checks. */
    public synchronized void note(String rule, String what) {
        breakRule(rule, what);
    }

    /** How often a rule was broken. */
    public synchronized int broken(String rule) {
        return broken.getOrDefault(rule, 0);
    }

    /** Number of tasks of a job that are on a machine. */
    public synchronized int running(String id) {
        int count = 0;
        for (Map.Entry<String, Set<String>> e : onMachine.entrySet()) if (e.getKey().startsWith(id + "/") && !e.getValue().isEmpty()) count++;
        return count;
    }

    public synchronized double used(String team) {
        return usage.getOrDefault(team, 0.0);
    }

    public synchronized String summary() {
        return "most CPUs used by team " + most + ", rules broken " + broken;
    }
}
